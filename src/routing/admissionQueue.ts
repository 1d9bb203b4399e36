import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { EndpointSelector } from "./endpointSelector";
import { SelectionCriteria } from "./selectionCriteria";
import { Endpoint } from "../node/clusterSnapshot";

/** A request that waits for an endpoint. */
interface QueuedRequest {
  /** Priority by policy or route; the lowest number is served first. */
  order: number;
  /** When the request arrived, by one clock for all requests of a queue; ties of priority are served in this order. */
  arrivedAt: number;
  wake: Chan<true>;
}

/** How many queued requests double the pause that a rejected caller gets. */
const queueLengthThatDoublesPause = 8;

const goesBefore = (one: QueuedRequest, other: QueuedRequest): boolean =>
  one.order < other.order || (one.order === other.order && one.arrivedAt < other.arrivedAt);

/**
 * Queues live requests until an endpoint has capacity: one bounded queue for each pool, ordered by priority and then by
 * arrival. Only the request at the head selects an endpoint; it is woken when capacity may have become free.
 *
 * @example
 * const queue = new AdmissionQueue(env, selector, (pool) => overload.signal(pool));
 * const endpoint = yield* queue.acquire(() => criteria, 10, env.mono(), 400);
 * if (endpoint) queue.release(endpoint, true);
 */
export class AdmissionQueue {
  private readonly queues = new Map<string, QueuedRequest[]>();
  /** `onOverload` is called with the pool whenever a request cannot be sent at once. */
  constructor(
    private readonly env: Environment,
    private readonly endpointSelector: EndpointSelector,
    private readonly onOverload: (pool: string) => void,
  ) {}

  /** The number of requests queued for a pool. */
  queueLength = (pool: string): number => this.queues.get(pool)?.length ?? 0;

  /** After how many ms a rejected caller should retry: longer with the queue, with jitter of a fifth. */
  retryAfterMs = (pool: string): number =>
    Math.round(
      Constants.retryAfterMs *
        (1 + this.queueLength(pool) / queueLengthThatDoublesPause) *
        (0.8 + 0.4 * this.env.random()),
    );

  /**
   * Acquires capacity at an endpoint; the caller must release it. Undefined when there is none within `withinMs`, or when
   * the queue is full. `makeCriteria` is called anew for every selection, since endpoints change meanwhile.
   */
  *acquire(
    makeCriteria: () => SelectionCriteria,
    order: number,
    arrivedAt: number,
    withinMs: number,
    pool = makeCriteria().pool,
  ): Task<Endpoint | undefined> {
    const queue = this.queues.get(pool) ?? [];
    this.queues.set(pool, queue);
    const immediate = queue.length === 0 ? this.select(makeCriteria()) : undefined;
    if (immediate) return immediate;
    this.onOverload(pool);
    if (queue.length >= Constants.liveBuffer || withinMs <= 0) return undefined;
    const request: QueuedRequest = { order, arrivedAt, wake: Csp.sliding(1) };
    const successor = queue.findIndex((other) => goesBefore(request, other));
    queue.splice(successor < 0 ? queue.length : successor, 0, request);
    try {
      return yield* this.waitForEndpoint(queue, request, makeCriteria, this.env.mono() + withinMs);
    } finally {
      queue.splice(queue.indexOf(request), 1);
      this.wakeHead(pool);
    }
  }

  private *waitForEndpoint(
    queue: QueuedRequest[],
    request: QueuedRequest,
    makeCriteria: () => SelectionCriteria,
    until: number,
  ): Task<Endpoint | undefined> {
    while (this.env.mono() < until) {
      // nothing signals the next turn of a slow start or the end of an ejection: the head polls for them
      const leftMs = until - this.env.mono();
      const waitMs = queue[0] === request ? Math.min(Constants.roomTurnMs, leftMs) : leftMs;
      yield* EnvironmentTools.takeWithin(this.env, request.wake, waitMs);
      const endpoint = queue[0] === request ? this.select(makeCriteria()) : undefined;
      if (endpoint) return endpoint;
    }
    return undefined;
  }

  private select(criteria: SelectionCriteria): Endpoint | undefined {
    const endpoint = this.endpointSelector.choose(criteria);
    if (endpoint) this.endpointSelector.requestStarted(endpoint);
    return endpoint;
  }

  private wakeHead(pool: string): void {
    const head = this.queues.get(pool)?.[0];
    if (head) Csp.offer(head.wake, true);
  }

  /** A request ended at the endpoint; for `healthy` and `decisive` see EndpointSelector.requestEnded. */
  release(endpoint: Endpoint, healthy: boolean, decisive = false): void {
    this.endpointSelector.requestEnded(endpoint, healthy, decisive);
    this.wakeHead(endpoint.pool);
  }

  /** Endpoints may have been added, or may have announced less load. */
  endpointsChanged(): void {
    for (const pool of this.queues.keys()) this.wakeHead(pool);
  }
}
