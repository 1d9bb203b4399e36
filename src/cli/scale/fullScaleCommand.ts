import * as os from "os";
import type { Sade } from "sade";
import { Bound, Sizes } from "../../tools/scale/sizes";
import { FullScaleRun } from "../../tools/scale/fullScaleRun";
import { exitWithUsageError, printLine } from "../output";
import { readInteger, ScaleOptions } from "./sizeOptions";

const memberBound: Bound = { name: "members", least: 3, most: 5000, why: "loopback addresses are made for no more" };
const endpointBound: Bound = { name: "replicas", least: 0, most: 100_000, why: "ten times the size to design for" };
const processBound: Bound = {
  name: "processes",
  least: 1,
  most: Math.max(1, os.cpus().length),
  why: "the machine has no more cores",
};
const secondsBound: Bound = { name: "seconds", least: 10, most: 600, why: "others use this machine" };

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
