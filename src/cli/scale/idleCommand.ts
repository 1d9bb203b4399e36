import type { Sade } from "sade";
import { IdleRun } from "../../tools/scale/idleRun";
import { Bound } from "../../tools/scale/sizes";
import { INTERRUPTED_EXIT_CODE, printLine } from "../output";
import { readInteger, ScaleOptions } from "./sizeOptions";

const processBound = (name: string, least: number): Bound => ({
  name,
  min: least,
  max: 40,
  reason: "each is a process of about 80 MB",
});
const endpointBound: Bound = { name: "replicas", min: 0, max: 500, reason: "one tool announces them all" };
const secondsBound: Bound = { name: "seconds", min: 5, max: 600, reason: "others use this machine" };
const portBound: Bound = { name: "port", min: 1024, max: 65_000, reason: "two ports a process follow it" };

async function measureIdle(options: ScaleOptions): Promise<void> {
  const plan = {
    controls: readInteger(options.controls, processBound("controls", 3)),
    stores: readInteger(options.stores, processBound("stores", 1)),
    ingresses: readInteger(options.ingresses, processBound("ingresses", 1)),
    endpoints: readInteger(options.replicas, endpointBound),
    seconds: readInteger(options.seconds, secondsBound),
    port: readInteger(options.port, portBound),
  };
  const run = new IdleRun(plan, printLine);
  process.on("SIGINT", () => {
    run.end();
    process.exit(INTERRUPTED_EXIT_CODE);
  });
  await run.run();
  process.exit(0);
}

/** The command that measures what real processes cost without traffic. @example addIdleCommand(program); */
export function addIdleCommand(program: Sade): void {
  program
    .command("scale idle")
    .describe("Real processes of each program while nobody calls: processor, wake-ups, memory, descriptors.")
    .option("--controls", "Control machines", 3)
    .option("--stores", "Store machines", 3)
    .option("--ingresses", "Ingresses, each with its agent inside", 4)
    .option("--replicas", "Replicas that announce themselves", 17)
    .option("--seconds", "How long", 20)
    .option("--port", "First port", 21_000)
    .action(measureIdle);
}
