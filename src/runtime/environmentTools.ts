import { Chan, Csp, SelectResult, Scope, Task } from "./csp";
import { Environment } from "./environment";
import { HttpResponse } from "./http";

/** The delay before a supervised task is restarted. */
const RESTART_DELAY_MS = 100;
/** A random id consists of a number of 48 bits and one of 24 bits, both in base 36. */
const ID_HIGH_RANGE = 2 ** 48;
const ID_LOW_RANGE = 2 ** 24;
const ID_RADIX = 36;

function* sleep(env: Environment, ms: number): Task<void> {
  yield* Csp.take(env.timer(ms).chan);
}

function* takeWithin<T>(env: Environment, chan: Chan<T>, ms: number): Task<T | null | undefined> {
  if (ms <= 0) return Csp.poll(chan);
  const timer = env.timer(ms);
  const selected: SelectResult<T> = yield* Csp.select<T>([chan, timer.chan]);
  timer.cancel();
  return selected.index === 0 ? selected.value : undefined;
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
    if (chunk === null) return response.bodyEnd() === "complete" ? Buffer.concat(chunks) : undefined;
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

const randomDigits = (env: Environment, range: number): string => Math.floor(env.random() * range).toString(ID_RADIX);

/**
 * Common operations on an environment.
 *
 * @example
 * yield* EnvironmentTools.sleep(env, 100);
 * const item = yield* EnvironmentTools.takeWithin(env, chan, 500); // undefined: timed out, null: closed
 */
export const EnvironmentTools = {
  sleep,
  /** Returns the next value of a channel: undefined if none arrives within `ms`, null if the channel is closed. */
  takeWithin,
  /** Returns a body, or undefined if it is incomplete, longer than `limit` bytes or not received within `timeoutMs`. */
  readBody,
  /** The same, decoded as UTF-8. */
  readBodyText,
  /** @example EnvironmentTools.randomId(env, "req") // "req-2k8f0…" */
  randomId: (env: Environment, prefix: string): string =>
    `${prefix}-${randomDigits(env, ID_HIGH_RANGE)}${randomDigits(env, ID_LOW_RANGE)}`,
  /** Starts a supervised task, which is restarted whenever it ends or fails. */
  runSupervised(env: Environment, scope: Scope, name: string, body: () => Task<unknown>): void {
    Csp.go(scope, name, function* () {
      for (;;) {
        try {
          yield* body();
        } catch (error) {
          if (!scope.alive) return;
          scope.onError(name, error);
        }
        yield* sleep(env, RESTART_DELAY_MS);
      }
    });
  },
};
