import * as os from "os";
import type { Sade } from "sade";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { FullScaleRun } from "../../tools/scale/fullScaleRun";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions } from "./sizeOptions";

const memberBound: Bound = { name: "members", min: 3, max: 5000, reason: "loopback addresses are made for no more" };
const endpointBound: Bound = { name: "replicas", min: 0, max: 100_000, reason: "ten times the size to design for" };
const processBound: Bound = {
  name: "processes",
  min: 1,
  max: Math.max(1, os.cpus().length),
  reason: "the machine has no more cores",
};
const secondsBound: Bound = { name: "seconds", min: 10, max: 600, reason: "others use this machine" };

async function measureFullScale(options: ScaleOptions): Promise<void> {
  const members = readInteger(options.members, memberBound);
  const endpoints = readInteger(options.replicas, endpointBound);
  const processes = readInteger(options.processes, processBound);
  const seconds = readInteger(options.seconds, secondsBound);
  const fits = Sizes.checkMemory(members, endpoints);
  if (!fits.ok) exitWithUsageError(fits.fault.detail);
  const plan = { members, endpoints: endpoints, processes, seconds, memoryLimitBytes: Sizes.memoryLimitBytes() };
  const run = new FullScaleRun(plan, printLine);
  process.on("SIGINT", () => (run.isInterrupted = true));
  process.on("SIGTERM", () => (run.isInterrupted = true));
  await run.run();
  process.exit(0);
}

/** The command that runs all members and endpoints of a full-size fleet at once. @example addFullScaleCommand(program); */
export function addFullScaleCommand(program: Sade): void {
  program
    .command("scale whole")
    .describe(
      "All members and replicas at once: hollow members over the real wire on loopback addresses, in a few processes.",
    )
    .option("--members", "Members", 780)
    .option("--replicas", "Replicas that announce themselves", 10_000)
    .option("--processes", "Processes that share the members; each takes a core when it is busy", 3)
    .option("--seconds", "How long", 60)
    .action(measureFullScale);
}
