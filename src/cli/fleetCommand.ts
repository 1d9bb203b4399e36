import * as path from "path";
import type { Sade } from "sade";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Deployment } from "../tools/deployment";
import { runChecked } from "../tools/fleet/checkedRun";
import { Fleet } from "../tools/fleet/fleet";
import { fleetFaults, needsProxies } from "../tools/fleet/fleetFaults";
import { makeToolEnv, readDeployment, runTool } from "./developerTool";
import { exitWithUsageError, printLine } from "./output";

const CONFIGURE_TIMEOUT_MS = 30_000;
const READY_TIMEOUT_MS = 45_000;
const IDLE_POLL_MS = 1000;
const ALL_FAULTS = "all";
const ExitCode = { passed: 0, failed: 1 } as const;

/** Options of the command; the parser converts numeric texts to numbers. */
interface FleetOptions {
  port: number | string;
  folder: number | string;
  seconds: number | string;
  load: number | string;
  trouble?: number | string;
}

/** Returns the names of the faults to inject. Ends the process with exit code 2 if one is unknown. */
function readFaultNames(option: number | string | undefined): string[] {
  if (option === undefined) return [];
  const known = Object.keys(fleetFaults);
  const names = String(option) === ALL_FAULTS ? known : String(option).split(",");
  const unknown = names.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    const help = Object.entries(fleetFaults).map(([name, fault]) => `  ${name}: ${fault.about}`);
    exitWithUsageError(`unknown fault ${unknown.join(", ")}; known:\n${help.join("\n")}`);
  }
  return names;
}

/** Starts the fleet and waits until it is ready; prints a message and returns false if that takes too long. */
function* startFleet(env: Environment, fleet: Fleet, deployment: Deployment): Task<boolean> {
  yield* fleet.startProxies();
  fleet.startAll();
  yield* fleet.startEndpoints();
  const startedAt = env.monotonicMs();
  if (!(yield* fleet.operator.configure(deployment, CONFIGURE_TIMEOUT_MS))) {
    printLine("the fleet accepted no configuration within 30 s; see the logs in the folder");
    return false;
  }
  if (!(yield* fleet.operator.waitUntilReady(READY_TIMEOUT_MS))) {
    printLine("the fleet was not ready within 45 s; see the logs in the folder");
    return false;
  }
  const seconds = ((env.monotonicMs() - startedAt) / 1000).toFixed(1);
  const { plan, endpoints } = fleet;
  printLine(`ready after ${seconds} s: ${plan.processes.length} processes, ${endpoints.length} stand-in replicas`);
  printLine(`ingresses: ${plan.ingressHttp.join(" ")}`);
  printLine(`operators: ${plan.controlHttp.join(" ")}`);
  return true;
}

function runFleet(file: string, options: FleetOptions): void {
  const deployment = readDeployment(file);
  const env = makeToolEnv("fleet");
  const folder = path.resolve(String(options.folder), deployment.cluster);
  const faultNames = readFaultNames(options.trouble);
  const plan = Deployment.plan(deployment, Number(options.port), folder, faultNames.some(needsProxies));
  const fleet = new Fleet(env, plan, folder);
  const seconds = Number(options.seconds);
  const load = Number(options.load);
  const task = function* (): Task<number> {
    if (!(yield* startFleet(env, fleet, deployment))) return ExitCode.failed;
    if (seconds <= 0 && faultNames.length === 0) for (;;) yield* EnvironmentTools.sleep(env, IDLE_POLL_MS);
    const run = { plan, deployment, seconds, load, fleet, faultNames, print: printLine };
    return (yield* runChecked(env, run)) ? ExitCode.passed : ExitCode.failed;
  };
  runTool(env, task, () => fleet.stopAll());
}

/** Adds the command that runs a whole deployment on this machine. */
export function addFleetCommand(program: Sade): void {
  program
    .command("fleet <deployment>")
    .describe(
      "Runs a whole deployment on this machine with stand-in endpoints; with --seconds also sends load and checks the responses.",
    )
    .option("--port", "First port", 17000)
    .option("--folder", "Folder for data, settings and logs", "run")
    .option("--seconds", "Seconds to send the deployment's mix of requests; then check, report and stop", 0)
    .option("--load", "Multiple of the mix's rate", 1)
    .option(
      "--trouble",
      `Faults to inject one after the other, separated by commas, or all: ${Object.keys(fleetFaults).join(", ")}`,
    )
    .example("fleet deploy/kiln-commons.json --seconds 30")
    .example("fleet deploy/kiln-commons.json --trouble kill-store,freeze-control")
    .action(runFleet);
}
