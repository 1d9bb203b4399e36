import * as fs from "fs";
import type { Sade } from "sade";
import { Action, parseActions } from "../model/actions";
import { CampaignOptions, FailingWalk, ModelCampaign } from "../model/campaign";
import { Walk } from "../model/walk";
import { exitWithUsageError, printLine } from "./output";

const PROGRESS_INTERVAL = 100; // walks
const ExitCode = { passed: 0, failed: 1 } as const;

/** Options of the command as the parser returns them. */
interface ModelOptions {
  walks: unknown;
  seed: unknown;
  voters: unknown;
  actions?: unknown;
  trace?: unknown;
  all?: unknown;
  "disk-faults"?: unknown;
}
type VoterCount = 3 | 5;

function readInteger(name: string, value: unknown, min: number): number {
  const integer = Number(value);
  if (!Number.isSafeInteger(integer) || integer < min)
    exitWithUsageError(`--${name}: expected an integer of at least ${min}`);
  return integer;
}
function readVoters(value: unknown): VoterCount {
  const voters = readInteger("voters", value, 3);
  if (voters !== 3 && voters !== 5) exitWithUsageError("--voters: expected 3 or 5");
  return voters;
}
function readActions(file: string): Action[] {
  try {
    return parseActions(fs.readFileSync(file, "utf8"));
  } catch (error) {
    exitWithUsageError(`${file}: ${(error as Error).message}`);
  }
}
const secondsSince = (startedAt: number): string => ((Date.now() - startedAt) / 1000).toFixed(0);

function printFailure({ seed, voters, violation, actions, shrinks }: FailingWalk): void {
  printLine(`walk of seed ${seed} violated ${violation}`);
  printLine(
    `shortened ${shrinks} times; replay with: petrelbeam model --voters ${voters} --seed ${seed} --actions FILE`,
  );
  printLine(JSON.stringify(actions));
}
/** Replays a list of actions that an earlier run printed; returns the exit code. */
async function replay(file: string, seed: number, voters: VoterCount, traceFile: string | undefined): Promise<number> {
  const lines: string[] = [];
  try {
    const report = await Walk.play({ seed, voters, trace: (line) => lines.push(line) }, readActions(file));
    printLine(`no invariant violated: ${JSON.stringify(report)}`);
    return ExitCode.passed;
  } catch (error) {
    printLine(`violated ${(error as Error).message}`);
    return ExitCode.failed;
  } finally {
    if (traceFile !== undefined) fs.writeFileSync(traceFile, lines.join("\n"));
  }
}
type WalkOptions = Pick<CampaignOptions, "firstSeed" | "walks" | "voters" | "diskFaults" | "stopAtFailure">;
/** Runs random walks and prints each failure; returns the exit code. */
async function runWalks(campaign: WalkOptions): Promise<number> {
  const startedAt = Date.now();
  const { firstSeed, voters } = campaign;
  const report = await ModelCampaign.run({
    ...campaign,
    onProgress: (finished) => {
      if (finished % PROGRESS_INTERVAL === 0) printLine(`${finished} walks, ${secondsSince(startedAt)} s`);
    },
    onFailure: printFailure,
  });
  const lastSeed = firstSeed + report.walks - 1;
  printLine(
    `${report.walks} walks of seeds ${firstSeed} to ${lastSeed}, ${voters} voters: ${report.failures.length} failed, ` +
      `${secondsSince(startedAt)} s; ${JSON.stringify(report.totals)}`,
  );
  return report.failures.length > 0 ? ExitCode.failed : ExitCode.passed;
}
async function runModel(options: ModelOptions): Promise<void> {
  const walks = readInteger("walks", options.walks, 1);
  const seed = readInteger("seed", options.seed, 0);
  const voters = readVoters(options.voters);
  const diskFaults = options["disk-faults"] !== undefined;
  const stopAtFailure = options.all === undefined;
  if (options.actions === undefined)
    process.exit(await runWalks({ firstSeed: seed, walks, voters, diskFaults, stopAtFailure }));
  const traceFile = options.trace === undefined ? undefined : String(options.trace);
  process.exit(await replay(String(options.actions), seed, voters, traceFile));
}

/** Adds the command that tests the control group with random walks and checks its invariants. */
export function addModelCommand(program: Sade): void {
  program
    .command("model")
    .describe("Tests the control group with random walks of faults in virtual time and checks its invariants.")
    .option("--walks", "Number of walks", 100)
    .option("--seed", "Seed of the first walk; each further walk uses the next seed", 1)
    .option("--voters", "Number of voters of the group, 3 or 5", 3)
    .option("--disk-faults", "Let disks reject writes for a while")
    .option("--all", "Continue after a failing walk")
    .option("--actions", "Replay the list of actions in this file, as a failing walk printed it")
    .option("--trace", "With --actions: write the log of the walk to this file")
    .example("model --walks 1000 --seed 1 --voters 5")
    .action(runModel);
}
