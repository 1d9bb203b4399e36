import { Csp, Scope, Task } from "../src/runtime/csp";
import { Env } from "../src/runtime/env";
import { NodeEnv } from "../src/runtime/nodeEnv";

/**
 * Runs a task to its end as a promise, over real time.
 *
 * @example
 * const got = await TestTools.run(function* (env) { return yield* EnvTools.sleep(env, 1); });
 */
export const TestTools = {
  run<T>(body: (env: Env) => Task<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const scope = new Scope("test", (_task, error) =>
        reject(error instanceof Error ? error : new Error(String(error))),
      );
      const env = NodeEnv.make("test", scope, () => undefined);
      Csp.go(scope, "test", function* () {
        const value = yield* body(env);
        resolve(value);
        scope.stop();
      });
    });
  },
};
