import { Csp, Scope, Task } from "../src/runtime/csp";
import { Environment } from "../src/runtime/env";
import { NodeEnvironment } from "../src/runtime/nodeEnvironment";

/**
 * Runs a task to its end as a promise, over real time.
 *
 * @example
 * const got = await TestTools.run(function* (env) { return yield* EnvironmentTools.sleep(env, 1); });
 */
export const TaskRunner = {
  run<T>(body: (env: Environment) => Task<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const scope = new Scope("test", (_task, error) =>
        reject(error instanceof Error ? error : new Error(String(error))),
      );
      const env = NodeEnvironment.make("test", scope, () => undefined);
      Csp.go(scope, "test", function* () {
        const value = yield* body(env);
        resolve(value);
        scope.stop();
      });
    });
  },
};
