import * as os from "os";
import type { Sade } from "sade";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { FullScaleRun } from "../../tools/scale/fullScaleRun";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions } from "./sizeOptions";

const memberBound: Bound = { name: "members", least: 3, most: 5000, why: "there are loopback addresses for no more" };
const endpointBound: Bound = { name: "replicas", least: 0, most: 100_000, why: "ten times the design size" };
const processBound: Bound = {
  name: "processes",
  least: 1,
  most: Math.max(1, os.cpus().length),
  why: "the machine has no more cores",
};
const secondsBound: Bound = { name: "seconds", least: 10, most: 600, why: "the machine is shared" };

async function measureFullScale(options: ScaleOptions): Promise<void> {
  const members = readInteger(options.members, memberBound);
  const endpoints = readInteger(options.replicas, endpointBound);
  const processes = readInteger(options.processes, processBound);
  const seconds = readInteger(options.seconds, secondsBound);
  const fits = Sizes.fits(members, endpoints);
  if (!fits.ok) exitWithUsageError(fits.fault.detail);
  const plan = { members, replicas: endpoints, processes, seconds, memoryLimit: Sizes.memoryLimit() };
  const run = new FullScaleRun(plan, printLine);
  process.on("SIGINT", () => (run.cut = true));
  process.on("SIGTERM", () => (run.cut = true));
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
