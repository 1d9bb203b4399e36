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
  reason: "one process simulates all of them",
};
const endpointBound: Bound = {
  name: "replicas",
  min: 0,
  max: 3000,
  reason: "each simulated member stores all of them",
};
const secondsBound: Bound = { name: "seconds", min: 10, max: 3600, reason: "a longer run gives no more information" };

function readLoss(option: unknown): Loss {
  const loss = losses.find((kind) => kind === String(option));
  if (!loss) exitWithUsageError(`unknown loss ${String(option)}; known: ${losses.join(", ")}`);
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

/** Adds the command that measures how a large membership reacts to the loss of a rack, a zone or links between regions. */
export function addLossCommand(program: Sade): void {
  program
    .command("scale loss")
    .describe(
      "Measures the loss of a rack, a zone, or the links between two of seven regions, with lightweight members in virtual time.",
    )
    .option("--kind", losses.join(", "), "zone")
    .option("--members", "Number of members, in 25 zones and 7 regions", 100)
    .option("--replicas", "Number of endpoints that announce themselves", 17)
    .option("--seconds", "Duration of the loss in seconds", 60)
    .option("--seed", "Seed", 1)
    .action(measureLoss);
}
