import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { EndpointSelector } from "./endpointSelector";
import { SelectionCriteria } from "./selectionCriteria";
import { Endpoint } from "../node/clusterSnapshot";

/** A request that waits for an endpoint. */
interface QueuedRequest {
  /** Priority that a policy or the route gives; the lowest number is served first. */
  order: number;
  /** When the request arrived, by the same clock for all requests of a queue; breaks ties of priority. */
  arrivedAt: number;
  wake: Chan<true>;
}

/** The number of queued requests that doubles the retry delay of a rejected caller. */
const QUEUE_LENGTH_DOUBLING_RETRY_DELAY = 8;

const precedes = (one: QueuedRequest, other: QueuedRequest): boolean =>
  one.order < other.order || (one.order === other.order && one.arrivedAt < other.arrivedAt);

/**
 * Queues live requests until an endpoint has capacity. Each pool has one bounded queue, ordered by priority and then by
 * arrival. Only the request at the head selects an endpoint; it is woken when capacity may have become available.
 *
 * @example
 * const queue = new AdmissionQueue(env, selector, (pool) => overload.signal(pool));
 * const endpoint = yield* queue.acquire(() => criteria, 10, env.monotonicMs(), 400);
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

  /** Returns the number of requests queued for a pool. */
  queueLength = (pool: string): number => this.queues.get(pool)?.length ?? 0;

  /** Returns how long a rejected caller should wait before it retries, in ms: grows with the queue, with 20% of jitter. */
  retryAfterMs = (pool: string): number =>
    Math.round(
      Constants.retryAfterMs *
        (1 + this.queueLength(pool) / QUEUE_LENGTH_DOUBLING_RETRY_DELAY) *
        (0.8 + 0.4 * this.env.random()),
    );

  /**
   * Acquires capacity at an endpoint, which the caller must release. Returns undefined when there is none within
   * `withinMs`, or when the queue is full. `makeCriteria` is called again for each selection, since endpoints change
   * while the request waits.
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
    if (queue.length >= Constants.admissionQueueMax || withinMs <= 0) return undefined;
    const request: QueuedRequest = { order, arrivedAt, wake: Csp.sliding(1) };
    const insertAt = queue.findIndex((other) => precedes(request, other));
    queue.splice(insertAt < 0 ? queue.length : insertAt, 0, request);
    try {
      return yield* this.waitForEndpoint(queue, request, makeCriteria, this.env.monotonicMs() + withinMs);
    } finally {
      queue.splice(queue.indexOf(request), 1);
      this.wakeHead(pool);
    }
  }

  private *waitForEndpoint(
    queue: QueuedRequest[],
    request: QueuedRequest,
    makeCriteria: () => SelectionCriteria,
    deadline: number,
  ): Task<Endpoint | undefined> {
    while (this.env.monotonicMs() < deadline) {
      // Nothing signals that slow start allows another request or that an ejection ends, so the head polls for both.
      const leftMs = deadline - this.env.monotonicMs();
      const waitMs = queue[0] === request ? Math.min(Constants.admissionCheckPeriodMs, leftMs) : leftMs;
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

  /** Releases capacity when a request has ended; for `healthy` and `decisive` see EndpointSelector.requestEnded. */
  release(endpoint: Endpoint, healthy: boolean, decisive = false): void {
    this.endpointSelector.requestEnded(endpoint, healthy, decisive);
    this.wakeHead(endpoint.pool);
  }

  /** Wakes the heads of all queues, since endpoints may have been added or may have announced less load. */
  endpointsChanged(): void {
    for (const pool of this.queues.keys()) this.wakeHead(pool);
  }
}
