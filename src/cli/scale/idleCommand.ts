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
const endpointBound: Bound = { name: "replicas", min: 0, max: 500, reason: "one process announces all of them" };
const secondsBound: Bound = { name: "seconds", min: 5, max: 600, reason: "the machine is shared" };
const portBound: Bound = {
  name: "port",
  min: 1024,
  max: 65_000,
  reason: "each process uses two of the ports that follow",
};

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

/** Adds the command that measures the cost of real processes without traffic. */
export function addIdleCommand(program: Sade): void {
  program
    .command("scale idle")
    .describe("Measures real processes of each program without traffic: CPU, wake-ups, memory, file descriptors.")
    .option("--controls", "Number of control nodes", 3)
    .option("--stores", "Number of stores", 3)
    .option("--ingresses", "Number of ingresses, each with its agent in the same process", 4)
    .option("--replicas", "Number of endpoints that announce themselves", 17)
    .option("--seconds", "Duration in seconds", 20)
    .option("--port", "First port", 21_000)
    .action(measureIdle);
}
