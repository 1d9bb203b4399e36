import { Result } from "../common/fault";
import type { ConnectionEvents } from "./connectionEvents";
import { Chan, Scope, Task } from "./csp";
import { Disk } from "./disk";
import { HttpExchange, HttpLimits, HttpRequest, HttpResponse } from "./http";
import { DatagramSocket, Link } from "./network";
import type { ServingPhase } from "./servingPhase";

/** What happens at a fault point; scenarios select the disks to lose by it. */
export interface FaultPointContext {
  readonly shard: number;
  /** The ids of the members that join the shard's view. */
  readonly joiners: string[];
}

export interface Timer {
  /** Closed when the time has elapsed. */
  readonly chan: Chan<never>;
  cancel(): void;
}

/**
 * Everything outside the process that a task may use: clocks, random numbers, network, HTTP, disk and log. Production
 * implements it with Node.js, the simulator with virtual time and simulated machines.
 */
export interface Environment {
  /** The name of the process in log lines and faults. */
  readonly name: string;
  /** The root scope of the process; stopping it ends all tasks. */
  readonly scope: Scope;
  readonly disk: Disk;
  /** The wall clock in ms since 1970; it may jump. */
  wallClockMs(): number;
  /** The monotonic clock in ms since an arbitrary time. */
  monotonicMs(): number;
  /** Returns a random number of at least 0 and less than 1. */
  random(): number;
  timer(ms: number): Timer;
  /** Listens at an address; the channel receives the connections of other members. Fault: "internal". */
  listen(address: string): Task<Result<Chan<Link>>>;
  /** Connects to a member. Fault: "refused" if no connection was made. */
  connect(address: string, timeoutMs: number): Task<Result<Link>>;
  /** Binds a UDP socket. Fault: "internal". */
  bindDatagrams(address: string): Task<Result<DatagramSocket>>;
  /** Serves HTTP at an address. The limits are read again for each new request and connection. */
  serveHttp(
    address: string,
    handler: (exchange: HttpExchange) => Task<void>,
    limits?: () => HttpLimits,
  ): Task<Result<true>>;
  /** Sets what the process does with HTTP requests from now on. */
  enterServingPhase(phase: ServingPhase): void;
  /** Returns the number of HTTP requests that were read and whose responses have not been sent to their end. */
  unfinishedRequests(): number;
  /** What happened on the connections of this process to HTTP servers. */
  readonly connectionEvents: ConnectionEvents;
  /** Sends an HTTP request. Faults: "refused" if nothing was sent, "timeout" and "broken" if it may have arrived. */
  httpRequest(address: string, request: HttpRequest): Task<Result<HttpResponse>>;
  /** Marks a numbered fault point, at which the simulator may kill the process. Does nothing in production. */
  faultPoint(number: number, context?: FaultPointContext): void;
  /** Logs an event of `LogEvents`. */
  log(event: number, fields?: Record<string, unknown>): void;
}
