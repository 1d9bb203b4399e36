import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { EndpointSelector, SelectionCriteria } from "./endpointSelector";
import { Endpoint } from "../node/clusterSnapshot";

type Waiter = { order: number; time: number; wake: Chan<true> };

/**
 * Live work that waits for a replica with room: one bounded buffer a pool, in policy order and then in order of arrival,
 * the foremost woken when room may have come. What can't be served within its time is refused at once by the caller.
 *
 * @example
 * const room = new Room(env, chooser, (pool) => tellCrowd(pool));
 * const replica = yield* room.take(() => wish, 10, stamp.time, 400);
 * room.leave(replica, true);
 */
export class AdmissionQueue {
  private buffers = new Map<string, Waiter[]>();
  constructor(
    private readonly env: Env,
    private readonly endpointSelector: EndpointSelector,
    private readonly overloaded: (pool: string) => void,
  ) {}
  /** How many wait for a pool. @example room.waiting("model") */
  waiting = (pool: string): number => this.buffers.get(pool)?.length ?? 0;
  /** When to come back: later the more wait. @example room.retryAfterMs("model") */
  retryAfterMs = (pool: string): number =>
    Math.round(Constants.retryAfterMs * (1 + this.waiting(pool) / 8) * (0.8 + 0.4 * this.env.random()));

  /** A replica, its place taken; undefined when there is none in time, or too many wait. @example yield* room.take(make, 10, now, 400) */
  *take(
    make: () => SelectionCriteria,
    order: number,
    time: number,
    withinMs: number,
    pool = make().pool,
  ): Task<Endpoint | undefined> {
    const buffer = this.buffers.get(pool) ?? [];
    this.buffers.set(pool, buffer);
    const chosen = buffer.length === 0 ? this.chosen(make()) : undefined;
    if (chosen) return chosen;
    this.overloaded(pool);
    if (buffer.length >= Constants.liveBuffer || withinMs <= 0) return undefined;
    const waiter: Waiter = { order, time, wake: Csp.sliding(1) };
    const behind = buffer.findIndex((other) => other.order > order || (other.order === order && other.time > time));
    buffer.splice(behind < 0 ? buffer.length : behind, 0, waiter);
    const until = this.env.mono() + withinMs;
    try {
      while (this.env.mono() < until) {
        // awake on an event; a slow start's next turn and the end of an ejection are told by the time alone
        yield* EnvTools.takeWithin(
          this.env,
          waiter.wake,
          buffer[0] === waiter ? Math.min(Constants.roomTurnMs, until - this.env.mono()) : until - this.env.mono(),
        );
        const endpoint = buffer[0] === waiter ? this.chosen(make()) : undefined;
        if (endpoint) return endpoint;
      }
      return undefined;
    } finally {
      buffer.splice(buffer.indexOf(waiter), 1);
      this.wake(pool);
    }
  }
  private chosen(criteria: SelectionCriteria): Endpoint | undefined {
    const endpoint = this.endpointSelector.choose(criteria);
    if (endpoint) this.endpointSelector.begin(endpoint);
    return endpoint;
  }
  private wake(pool: string): void {
    const foremost = this.buffers.get(pool)?.[0];
    if (foremost) Csp.offer(foremost.wake, true);
  }
  /** A round at a replica ended. @example room.leave(replica, true); */
  leave(endpoint: Endpoint, lively: boolean, plainly = false): void {
    this.endpointSelector.end(endpoint, lively, plainly);
    this.wake(endpoint.pool);
  }
  /** Replicas may have come, or told of less load. @example node.news.watch(() => room.changed()); */
  changed(): void {
    for (const pool of this.buffers.keys()) this.wake(pool);
  }
}
