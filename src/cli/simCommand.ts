import * as fs from "fs";
import type { Sade } from "sade";
import { Campaign } from "../simulation/campaign";
import { Scenario, Scenarios } from "../simulation/scenarios/scenarios";
import { Checker } from "../tools/checker/checker";
import { Deployment } from "../tools/deployment";
import { Report } from "../tools/report";
import { readJsonFile } from "./jsonFile";
import { exitWithUsageError, printLine } from "./output";

const ALL_SCENARIOS = "all";
/** The fault point of runs without one. As the value of --point, it stands for each point in turn. */
const NO_POINT = 0;
const ExitCode = { passed: 0, failed: 1 } as const;

/** Options of the command; the parser converts numeric texts to numbers. */
interface SimOptions {
  scenario: number | string;
  seed: number | string;
  seeds: number | string;
  point: number | string;
  /** File to write the log to. */
  trace?: string;
  report?: boolean;
}
/** One run: a scenario with a seed and a fault point. */
interface SimRun {
  scenario: Scenario;
  seed: number;
  point: number;
}

function readDeployment(file: string): Deployment {
  const deployment = Deployment.check(readJsonFile(file));
  if (!deployment.ok) exitWithUsageError(`${file}: ${JSON.stringify(deployment.fault)}`);
  return deployment.value;
}
function findScenario(nameOrNumber: string): Scenario {
  const scenario = Scenarios.find(nameOrNumber);
  if (scenario) return scenario;
  const known = Scenarios.all.map(({ number, name, description: about }) => `  ${number} ${name}: ${about}`);
  exitWithUsageError(`unknown scenario ${nameOrNumber}; known:\n${known.join("\n")}`);
}
function readScenarios(option: number | string): Scenario[] {
  const text = String(option);
  return text === ALL_SCENARIOS ? Scenarios.all : text.split(",").map(findScenario);
}
function readPoint(option: number | string): number {
  const point = Number(option);
  if (point === NO_POINT || Scenarios.points[point]) return point;
  const known = Object.entries(Scenarios.points).map(([number, { description: about }]) => `  ${number} ${about}`);
  exitWithUsageError(`unknown fault point ${option}; known:\n${known.join("\n")}`);
}
function selectPoints(scenario: Scenario, chosen: number): number[] {
  if (!scenario.points) return [NO_POINT];
  return chosen === NO_POINT ? scenario.points : scenario.points.filter((point) => point === chosen);
}
/** Lists the selected runs, ordered by seed, then by scenario, then by fault point. */
function planRuns(options: SimOptions): SimRun[] {
  const scenarios = readScenarios(options.scenario);
  const chosen = readPoint(options.point);
  const firstSeed = Number(options.seed);
  const runs: SimRun[] = [];
  for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed += 1)
    for (const scenario of scenarios)
      for (const point of selectPoints(scenario, chosen)) runs.push({ scenario, seed, point });
  return runs;
}

/** Runs one scenario and prints its result; returns whether no invariant was violated. */
async function runOne(file: string, deployment: Deployment, run: SimRun, options: SimOptions): Promise<boolean> {
  const lines: string[] = [];
  const log = options.trace ? (line: string): void => void lines.push(line) : undefined;
  const report = await Campaign.run(deployment, run.scenario, run.seed, run.point, log);
  printLine(Campaign.formatReport(report, file));
  if (options.report) {
    const { history, startedEndpoints: pastEndpoints } = report.fleet;
    printLine(Report.text(history, report.virtualMs));
    printLine(JSON.stringify(Checker.observationCounts(history, pastEndpoints)));
  }
  if (options.trace) fs.writeFileSync(String(options.trace), [...report.actions, ...report.notes, ...lines].join("\n"));
  return report.violations.length === 0;
}
async function runSim(file: string, options: SimOptions): Promise<void> {
  const deployment = readDeployment(file);
  const runs = planRuns(options);
  let failed = 0;
  for (const run of runs) if (!(await runOne(file, deployment, run, options))) failed += 1;
  printLine(`${runs.length - failed} passed, ${failed} failed`);
  process.exit(failed > 0 || runs.length === 0 ? ExitCode.failed : ExitCode.passed);
}

/** Adds the command that runs a deployment in the simulator. */
export function addSimCommand(program: Sade): void {
  program
    .command("sim <deployment>")
    .describe("Runs a deployment through fault scenarios in virtual time and checks what callers observed.")
    .option("--scenario", "Names or numbers of scenarios, separated by commas, or all", "all")
    .option("--seed", "First seed", 1)
    .option("--seeds", "Number of seeds", 1)
    .option("--point", "Fault point for kill-at-point; 0 runs each in turn", 0)
    .option("--trace", "Write the log of a run to this file")
    .option("--report", "Print rates and latencies of each run")
    .example("sim deploy/kiln-commons.json --scenario freeze-store --seed 1 --seeds 10")
    .action(runSim);
}
