import * as os from "os";
import type { Sade } from "sade";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { FullScaleRun } from "../../tools/scale/fullScaleRun";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions } from "./sizeOptions";

const memberBound: Bound = { name: "members", min: 3, max: 5000, reason: "there are loopback addresses for no more" };
const endpointBound: Bound = { name: "replicas", min: 0, max: 100_000, reason: "ten times the design size" };
const processBound: Bound = {
  name: "processes",
  min: 1,
  max: Math.max(1, os.cpus().length),
  reason: "the machine has no more cores",
};
const secondsBound: Bound = { name: "seconds", min: 10, max: 600, reason: "the machine is shared" };

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

/** Adds the command that measures all members and endpoints of a full-size fleet at once. */
export function addFullScaleCommand(program: Sade): void {
  program
    .command("scale whole")
    .describe(
      "Measures all members and endpoints at once: lightweight members over real sockets on loopback addresses, in a few processes.",
    )
    .option("--members", "Number of members", 780)
    .option("--replicas", "Number of endpoints that announce themselves", 10_000)
    .option("--processes", "Number of processes that run the members; each uses a core when it is busy", 3)
    .option("--seconds", "Duration in seconds", 60)
    .action(measureFullScale);
}
