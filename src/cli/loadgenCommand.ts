import type { Sade } from "sade";
import { Task } from "../runtime/csp";
import { Deployment } from "../tools/deployment";
import { runChecked } from "../tools/fleet/checkedRun";
import { makeToolEnv, readDeployment, runTool } from "./developerTool";
import { printLine } from "./output";

const ExitCode = { passed: 0, failed: 1 } as const;

/** Options of the command, as the parser gives them: numbers where the text is one. */
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

/** The command that sends a deployment's mix to a fleet that runs already. @example addLoadgenCommand(program); */
export function addLoadgenCommand(program: Sade): void {
  program
    .command("loadgen <deployment>")
    .describe("Sends a deployment's mix to running ingresses and checks every reply.")
    .option("--port", "First port of the fleet", 17000)
    .option("--ingresses", "IP:port of ingresses, with commas (default: the fleet's)")
    .option("--seconds", "How long", 20)
    .option("--load", "Multiple of the mix's rate", 1)
    .example("loadgen deploy/kiln-commons.json --seconds 20 --load 2")
    .action(runLoadgen);
}
