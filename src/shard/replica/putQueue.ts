import { Fault, Result } from "../../common/fault";
import { Chan, Csp } from "../../runtime/csp";
import type { Put, PutOutcome } from "../state/operations";

/** A put whose caller waits for the outcome. */
export interface QueuedPut {
  readonly put: Put;
  readonly response: Chan<Result<PutOutcome>>;
  /** Time at which the put was queued, monotonic ms. */
  readonly queuedAt: number;
}

/** The puts of a leader: those that wait to be ordered, and the batch that is being replicated. */
export class PutQueue {
  private waiting: QueuedPut[] = [];
  private inFlight: QueuedPut[] = [];

  /** Number of puts that wait to be ordered. */
  get length(): number {
    return this.waiting.length;
  }
  /** Queues a put. Its outcome is sent on the returned channel. */
  add(put: Put, queuedAt: number): Chan<Result<PutOutcome>> {
    const response = Csp.chan<Result<PutOutcome>>(1);
    this.waiting.push({ put, response, queuedAt });
    return response;
  }
  /** Takes the next puts to replicate. They are in flight until `batchCompleted` is called. */
  takeBatch(limit: number): QueuedPut[] {
    this.inFlight = this.waiting.splice(0, limit);
    return this.inFlight;
  }
  /** Records that the puts in flight have their outcomes. */
  batchCompleted(): void {
    this.inFlight = [];
  }
  /** Stamp times of all waiting puts and puts in flight, ms. */
  stampTimes(): number[] {
    return [...this.inFlight, ...this.waiting].map(({ put }) => put.stamp.time);
  }
  /** Ends all puts with a fault: "notLead" if they were not logged, "unknown" if they are in flight. */
  failAll(selfId: string, reason: string): void {
    for (const { response } of this.waiting) Csp.offer(response, Fault.fail("notLead", "put", selfId, reason));
    for (const { response } of this.inFlight) Csp.offer(response, Fault.fail("unknown", "put", selfId, reason));
    this.waiting = [];
    this.inFlight = [];
  }
}
