import { Result } from "../common/fault";
import { Chan, Scope, Task } from "./csp";
import { Disk } from "./disk";
import { HttpExchange, HttpLimits, HttpRequest, HttpResponse } from "./http";
import { DatagramSocket, Link } from "./network";

/** What a fault point is about, for scenarios that lose the disks which belong to it. */
export interface FaultPointContext {
  readonly shard: number;
  /** Ids of the members that join the shard's view. */
  readonly joiners: string[];
}

export interface Timer {
  /** Closed when the time is over. */
  readonly chan: Chan<never>;
  cancel(): void;
}

/**
 * All of the outside world that a task may use: clocks, random numbers, network, HTTP, disk and log. Production binds it
 * to Node.js, the simulator to virtual time and simulated machines.
 */
export interface Environment {
  /** Name of the process, in logs. */
  readonly name: string;
  /** The process: all its tasks end with it. */
  readonly scope: Scope;
  readonly disk: Disk;
  /** Wall clock, ms since 1970. It may jump. */
  wallClockMs(): number;
  /** Monotonic clock, ms from an arbitrary start. */
  monotonicMs(): number;
  /** From 0 to less than 1. */
  random(): number;
  timer(ms: number): Timer;
  /** Accepts connections of other members. */
  listen(address: string): Task<Result<Chan<Link>>>;
  /** Faults: "refused" if no connection was made. */
  connect(address: string, timeoutMs: number): Task<Result<Link>>;
  bindDatagrams(address: string): Task<Result<DatagramSocket>>;
  /** Serves HTTP; the limits are read again as requests and connections come. */
  serveHttp(
    address: string,
    handler: (incoming: HttpExchange) => Task<void>,
    limits?: () => HttpLimits,
  ): Task<Result<true>>;
  /** Accepts no new connection from now on and closes idle ones; each further response ends its connection. */
  stopServing(): void;
  /** Sends an HTTP request. Faults: "refused" if nothing was sent, "timeout" and "broken" if it may have arrived. */
  httpRequest(address: string, out: HttpRequest): Task<Result<HttpResponse>>;
  /** A numbered fault point: the simulator may end the process here. */
  faultPoint(number: number, about?: FaultPointContext): void;
  /** Logs an event of `LogEvents`. */
  log(event: number, fields?: Record<string, unknown>): void;
}
