import { Chan, Csp, SelectResult, Scope, Task } from "./csp";
import { Environment } from "./environment";
import { HttpResponse } from "./http";

/** A supervised task that has ended or failed starts again after this time. */
const RESTART_MS = 100;
/** Random ids have 48 and 24 bits, written in base 36. */
const ID_HIGH_RANGE = 2 ** 48;
const ID_LOW_RANGE = 2 ** 24;
const ID_RADIX = 36;

function* sleep(env: Environment, ms: number): Task<void> {
  yield* Csp.take(env.timer(ms).chan);
}

function* takeWithin<T>(env: Environment, chan: Chan<T>, ms: number): Task<T | null | undefined> {
  if (ms <= 0) return Csp.poll(chan);
  const timer = env.timer(ms);
  const picked: SelectResult<T> = yield* Csp.select<T>([chan, timer.chan]);
  timer.cancel();
  return picked.index === 0 ? picked.value : undefined;
}

function* readBody(
  env: Environment,
  response: HttpResponse,
  limit: number,
  timeoutMs: number,
): Task<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  const deadline = env.monotonicMs() + timeoutMs;
  for (;;) {
    const chunk = yield* takeWithin(env, response.chunks, deadline - env.monotonicMs());
    if (chunk === null) return response.isIncomplete() ? undefined : Buffer.concat(chunks);
    size += chunk?.length ?? 0;
    if (chunk === undefined || size > limit) {
      response.abort();
      return undefined;
    }
    chunks.push(chunk);
  }
}

function* readBodyText(
  env: Environment,
  response: HttpResponse,
  limit: number,
  timeoutMs: number,
): Task<string | undefined> {
  return (yield* readBody(env, response, limit, timeoutMs))?.toString("utf8");
}

const digits = (env: Environment, range: number): string => Math.floor(env.random() * range).toString(ID_RADIX);

/**
 * What tasks do with an environment again and again.
 *
 * @example
 * yield* EnvironmentTools.sleep(env, 100);
 * const item = yield* EnvironmentTools.takeWithin(env, chan, 500); // undefined: timed out, null: closed
 */
export const EnvironmentTools = {
  sleep,
  /** The next item of a channel; undefined after `ms` without one, null if the channel is closed. */
  takeWithin,
  /** The complete body, or undefined if it is broken, longer than `limit` bytes or slower than `timeoutMs`. */
  readBody: readBody,
  /** The same as text. */
  readBodyText: readBodyText,
  /** A random id. @example EnvironmentTools.id(env, "req") // "req-2k8f0…" */
  randomId: (env: Environment, prefix: string): string =>
    `${prefix}-${digits(env, ID_HIGH_RANGE)}${digits(env, ID_LOW_RANGE)}`,
  /** Starts a supervised task: whenever it ends or fails, it starts again. @example EnvironmentTools.keep(env, scope, "probes", run) */
  runSupervised(env: Environment, scope: Scope, name: string, body: () => Task<unknown>): void {
    Csp.go(scope, name, function* () {
      for (;;) {
        try {
          yield* body();
        } catch (error) {
          if (!scope.alive) return;
          scope.onError(name, error);
        }
        yield* sleep(env, RESTART_MS);
      }
    });
  },
};
