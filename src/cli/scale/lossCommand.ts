import type { Sade } from "sade";
import { Loss, LossExperiment } from "../../tools/scale/lossExperiment";
import { Bound } from "../../tools/scale/sizes";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions, seedBound } from "./sizeOptions";

const losses: readonly Loss[] = ["rack", "zone", "regions"];
const memberBound: Bound = {
  name: "members",
  min: 50,
  max: 1000,
  reason: "virtual time holds all of them in one process",
};
const endpointBound: Bound = {
  name: "replicas",
  min: 0,
  max: 3000,
  reason: "each member of the simulated fleet holds all of them",
};
const secondsBound: Bound = { name: "seconds", min: 10, max: 3600, reason: "a longer run tells nothing more" };

function readLoss(option: unknown): Loss {
  const loss = losses.find((each) => each === String(option));
  if (!loss) exitWithUsageError(`no loss ${String(option)}; known: ${losses.join(", ")}`);
  return loss;
}
async function measureLoss(options: ScaleOptions): Promise<void> {
  const loss = readLoss(options.kind);
  const members = readInteger(options.members, memberBound);
  const endpoints = readInteger(options.replicas, endpointBound);
  const seconds = readInteger(options.seconds, secondsBound);
  const seed = readInteger(options.seed, seedBound);
  const measured = await LossExperiment.measure(loss, members, endpoints, seconds * 1000, seed);
  printLine(LossExperiment.format(measured));
  process.exit(0);
}

/** The command that measures how a large membership takes the loss of a rack, a zone or links between regions. @example addLossCommand(program); */
export function addLossCommand(program: Sade): void {
  program
    .command("scale loss")
    .describe("A rack, a zone, or the links between two of seven regions lost, among hollow members in virtual time.")
    .option("--kind", losses.join(", "), "zone")
    .option("--members", "Members, over 25 zones and 7 regions", 100)
    .option("--replicas", "Replicas that announce themselves", 17)
    .option("--seconds", "How long it lasts", 60)
    .option("--seed", "Seed", 1)
    .action(measureLoss);
}
