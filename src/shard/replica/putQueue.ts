import { Fault, Result } from "../../common/fault";
import { Chan, Csp } from "../../runtime/csp";
import type { Put, PutOutcome } from "../state/operations";

/** A put whose caller waits for its outcome. */
export interface QueuedPut {
  readonly put: Put;
  readonly response: Chan<Result<PutOutcome>>;
  /** Monotonic ms. */
  readonly queuedAt: number;
}

/**
 * The puts of a leader: those that wait for their order, and the batch that is being replicated.
 *
 * @example
 * const response = queue.add(put, env.mono());
 * const batch = queue.takeBatch(256);
 */
export class PutQueue {
  private waiting: QueuedPut[] = [];
  private inFlight: QueuedPut[] = [];

  /** Puts that wait for their order. */
  get length(): number {
    return this.waiting.length;
  }
  /** Queues a put; its outcome comes on the channel. @example const response = queue.add(put, env.mono()); */
  add(put: Put, queuedAt: number): Chan<Result<PutOutcome>> {
    const response = Csp.chan<Result<PutOutcome>>(1);
    this.waiting.push({ put, response, queuedAt });
    return response;
  }
  /** The next puts to replicate; in flight until `batchCompleted`. @example const batch = queue.takeBatch(256); */
  takeBatch(limit: number): QueuedPut[] {
    this.inFlight = this.waiting.splice(0, limit);
    return this.inFlight;
  }
  /** The batch in flight has its outcomes. @example queue.batchCompleted(); */
  batchCompleted(): void {
    this.inFlight = [];
  }
  /** Times of the stamps of all puts, ms. @example Math.min(now, ...queue.stampTimes()) */
  stampTimes(): number[] {
    return [...this.inFlight, ...this.waiting].map(({ put }) => put.stamp.time);
  }
  /**
   * Ends all puts with a fault: "notLead" for those that were never logged, "unknown" for those in flight.
   * @example queue.failAll("node-1", "newer view");
   */
  failAll(selfId: string, reason: string): void {
    for (const { response } of this.waiting) Csp.offer(response, Fault.fail("notLead", "put", selfId, reason));
    for (const { response } of this.inFlight) Csp.offer(response, Fault.fail("unknown", "put", selfId, reason));
    this.waiting = [];
    this.inFlight = [];
  }
}
