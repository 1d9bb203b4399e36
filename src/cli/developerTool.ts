/** Functions shared by the commands that run or load a fleet of real processes. */

import { Logger } from "../common/logger";
import { Csp, Scope, Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { NodeEnvironment } from "../runtime/nodeEnvironment";
import { Deployment } from "../tools/deployment";
import { readJsonFile } from "./jsonFile";
import { exitWithUsageError, INTERRUPTED_EXIT_CODE } from "./output";

const TASK_FAILED_EVENT = 1004;
const FAILED_EXIT_CODE = 1;

/** Reads a deployment file named on the command line. Ends the process with exit code 2 if the file is invalid. */
export function readDeployment(file: string): Deployment {
  const checked = Deployment.check(readJsonFile(file));
  if (checked.ok) return checked.value;
  const paths = checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : [];
  exitWithUsageError([`${file}: ${checked.fault.detail}`, ...paths.map((path) => `  ${path}`)].join("\n"));
}

/** Creates the environment of a tool, with the real clock, network and disk; logs warnings and errors. */
export function makeToolEnv(name: string): Environment {
  const log = Logger.make(name, "warn");
  const onError = (task: string, error: unknown): void =>
    log(TASK_FAILED_EVENT, { task, error: String((error as Error).stack ?? error) });
  return NodeEnvironment.make(name, new Scope(name, onError), log);
}

/**
 * Runs a tool's task and ends the process with the exit code that it returns, or 1 if it throws. `cleanUp` runs before
 * the process ends, also after SIGINT.
 */
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
