import { Environment } from "../runtime/env";

interface UnansweredRequest {
  endpointKey: string;
  /** Monotonic ms. */
  sentAt: number;
  dueAt: number;
}

/**
 * Requests that were sent and have had no answer at all. One that is overdue, while its endpoint has sent nothing else
 * either, is evidence against the endpoint long before its deadline, which for a request that may not be repeated is the
 * only time-out. An endpoint that goes on with other requests is loaded, not silent.
 *
 * @example
 * const answered = unanswered.expect("replica/r1/i1", 500);
 * unanswered.takeOverdue(); // ["replica/r1/i1"], once, if 500 ms have passed
 * answered();
 */
export class UnansweredRequests {
  private readonly waiting = new Set<UnansweredRequest>();
  /** When something was received last, monotonic ms, by endpoint key; only of endpoints with requests that wait. */
  private readonly heardAt = new Map<string, number>();
  constructor(private readonly env: Environment) {}

  /** Expects an answer within this time; the returned function is called when it comes, or when the attempt ends. */
  expect(endpointKey: string, withinMs: number): () => void {
    const sentAt = this.env.mono();
    const request = { endpointKey, sentAt, dueAt: sentAt + withinMs };
    this.waiting.add(request);
    return () => this.waiting.delete(request);
  }

  /** Something was received from the endpoint, in whichever response. */
  heardFrom(endpointKey: string): void {
    if (this.waiting.size > 0) this.heardAt.set(endpointKey, this.env.mono());
    else this.heardAt.clear();
  }

  /** The silent endpoints of the requests that have become overdue since the last call, one key for each request. */
  takeOverdue(): string[] {
    const now = this.env.mono();
    const overdue = [...this.waiting].filter((request) => request.dueAt <= now);
    for (const request of overdue) this.waiting.delete(request);
    const silent = overdue.filter(({ endpointKey, sentAt }) => (this.heardAt.get(endpointKey) ?? -Infinity) <= sentAt);
    return silent.map(({ endpointKey }) => endpointKey);
  }
}
