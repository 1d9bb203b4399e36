import { Environment } from "../runtime/env";

interface UnansweredRequest {
  endpointKey: string;
  /** Monotonic ms. */
  dueAt: number;
}

/**
 * Requests that were sent and have had no answer at all. One that is overdue is evidence against its endpoint long before
 * its deadline, which for a request that may not be repeated is the only time-out.
 *
 * @example
 * const answered = unanswered.expect("replica/r1/i1", 500);
 * unanswered.takeOverdue(); // ["replica/r1/i1"], once, if 500 ms have passed
 * answered();
 */
export class UnansweredRequests {
  private readonly waiting = new Set<UnansweredRequest>();
  constructor(private readonly env: Environment) {}

  /** Expects an answer within this time; the returned function is called when it comes, or when the attempt ends. */
  expect(endpointKey: string, withinMs: number): () => void {
    const request = { endpointKey, dueAt: this.env.mono() + withinMs };
    this.waiting.add(request);
    return () => this.waiting.delete(request);
  }

  /** The endpoints of the requests that have become overdue since the last call, one key for each request. */
  takeOverdue(): string[] {
    const now = this.env.mono();
    const overdue = [...this.waiting].filter((request) => request.dueAt <= now);
    for (const request of overdue) this.waiting.delete(request);
    return overdue.map((request) => request.endpointKey);
  }
}
