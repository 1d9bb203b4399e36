import { Chan, Csp, Picked, Scope, Task } from "./csp";
import { Result } from "../common/fault";

/** One connection that carries whole frames. */
export interface Link {
  readonly member: string;
  readonly incoming: Chan<Buffer>;
  send(frame: Buffer): boolean;
  close(): void;
}
export interface DatagramSocket {
  readonly incoming: Chan<{ from: string; data: Buffer }>;
  send(to: string, data: Buffer): void;
}
/** What callers may send on one connection, how long a header may take to come, and how long a connection may rest. */
export type HttpLimits = { readonly headerBytes: number; readonly headerMs: number; readonly idleMs: number };
export interface HttpExchange {
  readonly method: string;
  readonly path: string;
  readonly target: string; // path and query as they came
  readonly query: URLSearchParams;
  readonly headers: Record<string, string>;
  readonly caller: string;
  /** Closed when the caller has gone. */
  readonly gone: Chan<true>;
  /** Called when the caller goes away before its response is whole; set by whoever works for it. */
  onGone?: () => void;
  body(limit: number): Task<Result<Buffer>>;
  send(status: number, headers: Record<string, string>, body: string | Buffer): void;
  open(status: number, headers: Record<string, string>): void;
  write(chunk: string | Buffer): void;
  end(): void;
  abort(): void;
}
export interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly chunks: Chan<Buffer>; // closed at the end
  broken(): boolean; // read after chunks closed
  abort(): void;
  /** The rest is of no interest, and the connection may be used again once it has come. */
  finish(): void;
}
export type HttpRequest = {
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  timeoutMs: number;
  fresh?: boolean; // a connection of its own, so that "refused" is certain
  /** The environment sets its cancel: it ends the request, and its response too if that has begun. */
  cancellation?: { cancel?: () => void };
  connectMs?: number; // a connection not made by then is given up, provably unsent
};
export interface Disk {
  read(path: string): Task<Result<Buffer | undefined>>;
  /** The whole file, under its name, once this returns ok; after a loss of power before that, the former content or this. */
  write(path: string, data: Buffer): Task<Result<true>>;
  /** Appends at the end and syncs; the file is there, with its name synced. After a loss of power before ok, any part of it may stand. */
  append(path: string, data: Buffer): Task<Result<true>>;
  truncate(path: string, size: number): Task<Result<true>>;
  list(folder: string): Task<Result<string[]>>;
  /** The name may come back after a loss of power, until its folder is synced. */
  remove(path: string): Task<Result<true>>;
  /** What a former process wrote and perhaps didn't sync before it was killed. */
  syncFile(path: string): Task<Result<true>>;
  /** The names that a former process made, renamed or removed. */
  syncFolder(folder: string): Task<Result<true>>;
  /** Free bytes. */
  free(folder: string): Task<Result<number>>;
  /** One process at a time; one with the same owner (its address, which only one can listen on) is the same, started again. */
  lock(folder: string, owner: string): Task<Result<true>>;
}
/** What a fault point is about, for scenarios that lose what belongs to it. */
export type FaultPointContext = { shard: number; joiners: string[] };
export interface Timer {
  readonly chan: Chan<never>; // closed when due
  cancel(): void;
}
/** All that a task may reach of the world; production binds it to Node, the simulator to virtual time. */
export interface Env {
  readonly name: string;
  readonly scope: Scope;
  readonly disk: Disk;
  wall(): number;
  mono(): number;
  random(): number;
  timer(ms: number): Timer;
  listen(address: string): Task<Result<Chan<Link>>>;
  connect(address: string, timeoutMs: number): Task<Result<Link>>;
  datagrams(address: string): Task<Result<DatagramSocket>>;
  /** The limits are asked for again as requests and connections come. */
  serveHttp(
    address: string,
    handler: (incoming: HttpExchange) => Task<void>,
    limits?: () => HttpLimits,
  ): Task<Result<true>>;
  /** No new connection from now on, idle ones are closed, and each reply ends its connection; what is in flight goes on. */
  stopServing(): void;
  http(address: string, out: HttpRequest): Task<Result<HttpResponse>>;
  /** A numbered fault point: the simulator may end the process here. */
  point(number: number, about?: FaultPointContext): void;
  log(event: number, fields?: Record<string, unknown>): void;
}

function* sleep(env: Env, ms: number): Task<void> {
  yield* Csp.take(env.timer(ms).chan);
}
function* takeWithin<T>(env: Env, chan: Chan<T>, ms: number): Task<T | null | undefined> {
  if (ms <= 0) return Csp.poll(chan);
  const timer = env.timer(ms);
  const picked: Picked<T> = yield* Csp.select<T>([chan, timer.chan]);
  timer.cancel();
  return picked.index === 0 ? picked.value : undefined;
}
function* bytesOf(env: Env, response: HttpResponse, limit: number, withinMs: number): Task<Buffer | undefined> {
  const parts: Buffer[] = [];
  let size = 0;
  const until = env.mono() + withinMs;
  for (;;) {
    const chunk = yield* takeWithin(env, response.chunks, until - env.mono());
    if (chunk === undefined || (chunk && (size += chunk.length) > limit)) {
      response.abort();
      return undefined;
    }
    if (chunk === null) return response.broken() ? undefined : Buffer.concat(parts);
    parts.push(chunk);
  }
}
function* bodyOf(env: Env, response: HttpResponse, limit: number, withinMs: number): Task<string | undefined> {
  return (yield* bytesOf(env, response, limit, withinMs))?.toString("utf8");
}

/**
 * Helpers over an environment.
 *
 * @example
 * yield* EnvTools.sleep(env, 100);
 * const item = yield* EnvTools.takeWithin(env, ch, 500); // undefined: time ran out, null: closed
 */
export const EnvTools = {
  sleep,
  takeWithin,
  /** Whole body, or undefined if broken, too long or too slow. @example yield* EnvTools.bytesOf(env, reply, 1000, 500) */
  bytesOf,
  /** Whole body as text, or undefined if broken, too long or too slow. @example yield* EnvTools.bodyOf(env, reply, 1000, 500) */
  bodyOf,
  /** @example const id = EnvTools.id(env, "req"); */
  id: (env: Env, prefix: string): string =>
    `${prefix}-${Math.floor(env.random() * 2 ** 48).toString(36)}${Math.floor(env.random() * 2 ** 24).toString(36)}`,
  /** A task that must go on: started again after an error, with a pause. @example EnvTools.keep(env, "probes", probes) */
  keep(env: Env, scope: Scope, name: string, body: () => Task<unknown>): void {
    Csp.go(scope, name, function* () {
      for (;;) {
        try {
          yield* body();
        } catch (error) {
          if (!scope.alive) return;
          scope.onError(name, error);
        }
        yield* sleep(env, 100);
      }
    });
  },
};
