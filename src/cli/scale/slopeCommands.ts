import type { Sade } from "sade";
import { ChoiceScale } from "../../tools/scale/choiceScale";
import { ControlScale } from "../../tools/scale/controlScale";
import { Experiment } from "../../tools/scale/experiment";
import { ManifestScale } from "../../tools/scale/manifestScale";
import { MemberScale } from "../../tools/scale/memberScale";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { SlopeRun } from "../../tools/scale/slopeRun";
import { StoreScale } from "../../tools/scale/storeScale";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions, seedBound } from "./sizeOptions";

/** Exit code of a run that ended before all sizes were measured. */
const INCOMPLETE_EXIT_CODE = 3;
const secondsBound: Bound = { name: "seconds", least: 1, most: 3600, why: "a longer run gives no more information" };

/** Experiments by the name of their command. */
const experiments: Readonly<Record<string, Experiment>> = {
  members: MemberScale.members,
  replicas: MemberScale.replicas,
  bindings: ManifestScale.bindings,
  changes: ControlScale.changes,
  controls: ControlScale.voters,
  stores: StoreScale.idle,
  lots: StoreScale.lots,
  choice: ChoiceScale.candidates,
};

async function measureSlope(name: string, experiment: Experiment, options: ScaleOptions): Promise<void> {
  const sizes = Sizes.read(options.sizes, experiment.bound);
  if (!sizes.ok) exitWithUsageError(sizes.fault.detail);
  const seconds = readInteger(options.seconds, secondsBound);
  const seed = readInteger(options.seed, seedBound);
  const run = new SlopeRun(name, experiment, sizes.value, seed, seconds);
  process.on("SIGINT", () => (run.cut = true));
  const complete = await run.run(printLine);
  process.exit(complete ? 0 : INCOMPLETE_EXIT_CODE);
}

/** Adds a command for each experiment, which measures a cost at several sizes. */
export function addSlopeCommands(program: Sade): void {
  for (const [name, experiment] of Object.entries(experiments)) {
    const { about, bound, sizes } = experiment;
    program
      .command(`scale ${name}`)
      .describe(`${about} Prints each cost and its slope.`)
      .option("--sizes", `Sizes to measure at, ${bound.least} to ${bound.most}, separated by commas`, sizes.join(","))
      .option("--seed", "Seed", 1)
      .option("--seconds", "Seconds of real time after which no further size is started", 300)
      .action((options: ScaleOptions) => measureSlope(name, experiment, options));
  }
}
