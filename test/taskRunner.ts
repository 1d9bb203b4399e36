import { Csp, Scope, Task } from "../src/runtime/csp";
import { Environment } from "../src/runtime/env";
import { NodeEnvironment } from "../src/runtime/nodeEnvironment";

/**
 * Runs a task in real time, in an environment of its own. The promise resolves to the result of the task, or rejects with
 * the error that the task throws.
 *
 * @example
 * await TaskRunner.run(function* (env) { return yield* EnvironmentTools.sleep(env, 1); });
 */
export const TaskRunner = {
  run<Value>(createTask: (env: Environment) => Task<Value>): Promise<Value> {
    return new Promise((resolve, reject) => {
      const scope = new Scope("test", (_task, error) =>
        reject(error instanceof Error ? error : new Error(String(error))),
      );
      const env = NodeEnvironment.make("test", scope, () => undefined);
      Csp.go(scope, "test", function* () {
        const value = yield* createTask(env);
        resolve(value);
        scope.stop();
      });
    });
  },
};
