import type { Sade } from "sade";
import { Task } from "../runtime/csp";
import { Deployment } from "../tools/deployment";
import { runChecked } from "../tools/fleet/checkedRun";
import { makeToolEnv, readDeployment, runTool } from "./developerTool";
import { printLine } from "./output";

const ExitCode = { passed: 0, failed: 1 } as const;

/** Options of the command; the parser converts numeric texts to numbers. */
interface LoadgenOptions {
  port: number | string;
  ingresses?: string;
  seconds: number | string;
  load: number | string;
}

function runLoadgen(file: string, options: LoadgenOptions): void {
  const deployment = readDeployment(file);
  const env = makeToolEnv("loadgen");
  const plan = Deployment.plan(deployment, Number(options.port), "run");
  if (options.ingresses) plan.ingressHttp = String(options.ingresses).split(",");
  const run = {
    plan,
    deployment,
    seconds: Number(options.seconds),
    load: Number(options.load),
    print: printLine,
  };
  runTool(env, function* (): Task<number> {
    return (yield* runChecked(env, run)) ? ExitCode.passed : ExitCode.failed;
  });
}

/** Adds the command that sends a deployment's mix of requests to a running fleet. */
export function addLoadgenCommand(program: Sade): void {
  program
    .command("loadgen <deployment>")
    .describe("Sends a deployment's mix of requests to running ingresses and checks every response.")
    .option("--port", "First port of the fleet", 17000)
    .option("--ingresses", "IP:port of ingresses, separated by commas (default: the fleet's)")
    .option("--seconds", "Duration in seconds", 20)
    .option("--load", "Multiple of the mix's rate", 1)
    .example("loadgen deploy/kiln-commons.json --seconds 20 --load 2")
    .action(runLoadgen);
}
