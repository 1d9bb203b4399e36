/** What the commands share that drive a fleet of real processes from this one. */

import { Logger } from "../common/logger";
import { Csp, Scope, Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { NodeEnvironment } from "../runtime/nodeEnvironment";
import { Deployment } from "../tools/deployment";
import { readJsonFile } from "./jsonFile";
import { exitWithUsageError, INTERRUPTED_EXIT_CODE } from "./output";

const TASK_FAILED_EVENT = 1004;
const FAILED_EXIT_CODE = 1;

/** A deployment file named on the command line; ends the process with exit code 2 where it is wrong. @example readDeployment("deploy/small.json") */
export function readDeployment(file: string): Deployment {
  const checked = Deployment.check(readJsonFile(file));
  if (checked.ok) return checked.value;
  const paths = checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : [];
  exitWithUsageError([`${file}: ${checked.fault.detail}`, ...paths.map((path) => `  ${path}`)].join("\n"));
}

/** Environment of a tool: the real clock, network and disk; warnings are logged. @example const env = makeToolEnv("fleet"); */
export function makeToolEnv(name: string): Environment {
  const log = Logger.make(name, "warn");
  const onError = (task: string, error: unknown): void =>
    log(TASK_FAILED_EVENT, { task, error: String((error as Error).stack ?? error) });
  return NodeEnvironment.make(name, new Scope(name, onError), log);
}

/** Runs a tool's task and ends the process with the exit code that it returns. @example runTool(env, task, () => fleet.stopAll()); */
export function runTool(env: Environment, task: () => Task<number>, cleanUp: () => void = () => undefined): void {
  process.on("SIGINT", () => {
    cleanUp();
    process.exit(INTERRUPTED_EXIT_CODE);
  });
  Csp.go(env.scope, "tool", function* () {
    let exitCode = FAILED_EXIT_CODE;
    try {
      exitCode = yield* task();
    } catch (error) {
      process.stderr.write(`${(error as Error).stack}\n`);
    }
    cleanUp();
    process.exit(exitCode);
  });
}
