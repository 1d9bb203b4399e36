import type { Sade } from "sade";
import { EndpointSelectionExperiments } from "../../tools/scale/endpointSelectionExperiments";
import { ControlGroupExperiments } from "../../tools/scale/controlGroupExperiments";
import { Experiment } from "../../tools/scale/experiment";
import { ConfigurationExperiments } from "../../tools/scale/configurationExperiments";
import { MembershipExperiments } from "../../tools/scale/membershipExperiments";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { SlopeRun } from "../../tools/scale/slopeRun";
import { StorageExperiments } from "../../tools/scale/storageExperiments";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions, seedBound } from "./sizeOptions";

/** Exit code of a run that ended before all sizes were measured. */
const INCOMPLETE_EXIT_CODE = 3;
const secondsBound: Bound = { name: "seconds", min: 1, max: 3600, reason: "a longer run gives no more information" };

/** Experiments by the name of their command. */
const experiments: Readonly<Record<string, Experiment>> = {
  members: MembershipExperiments.members,
  replicas: MembershipExperiments.endpoints,
  bindings: ConfigurationExperiments.routes,
  changes: ControlGroupExperiments.changes,
  controls: ControlGroupExperiments.nodes,
  stores: StorageExperiments.idle,
  lots: StorageExperiments.batchJobs,
  choice: EndpointSelectionExperiments.candidates,
};

async function measureSlope(name: string, experiment: Experiment, options: ScaleOptions): Promise<void> {
  const sizes = Sizes.parse(options.sizes, experiment.bound);
  if (!sizes.ok) exitWithUsageError(sizes.fault.detail);
  const seconds = readInteger(options.seconds, secondsBound);
  const seed = readInteger(options.seed, seedBound);
  const run = new SlopeRun(name, experiment, sizes.value, seed, seconds);
  process.on("SIGINT", () => (run.isInterrupted = true));
  const complete = await run.run(printLine);
  process.exit(complete ? 0 : INCOMPLETE_EXIT_CODE);
}

/** Adds a command for each experiment, which measures a cost at several sizes. */
export function addSlopeCommands(program: Sade): void {
  for (const [name, experiment] of Object.entries(experiments)) {
    const { description: about, bound, sizes } = experiment;
    program
      .command(`scale ${name}`)
      .describe(`${about} Prints each cost and its slope.`)
      .option("--sizes", `Sizes to measure at, ${bound.min} to ${bound.max}, separated by commas`, sizes.join(","))
      .option("--seed", "Seed", 1)
      .option("--seconds", "Seconds of real time after which no further size is started", 300)
      .action((options: ScaleOptions) => measureSlope(name, experiment, options));
  }
}
