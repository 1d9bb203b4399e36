import { EventLog, EventSeries } from "./eventSeries";

/** What a connection to an endpoint carried besides one response to each request. */
export type UnexpectedResponse =
  /** The response in the place of the next one repeats the id of another request. */
  | "otherRequest"
  /** Data arrived while no request was in progress. */
  | "idleConnection";

const UNEXPECTED_RESPONSE_EVENT = 1206;

/**
 * Counts what happens on the connections of a process to endpoints, and logs responses that belong to no request.
 *
 * @example
 * env.connectionEvents.unexpectedResponse("10.0.0.9:8080", "idleConnection");
 */
export class ConnectionEvents {
  private openedCount = 0;
  private readonly unexpectedResponses: EventSeries;
  private readonly repeatedIds: EventSeries;

  constructor(env: EventLog) {
    const logEvent = UNEXPECTED_RESPONSE_EVENT;
    this.unexpectedResponses = new EventSeries(env, { metric: "unexpected_responses", logEvent });
    this.repeatedIds = new EventSeries(env, { metric: "repeated_ids", logEvent });
  }

  /** A connection was opened. */
  opened(): void {
    this.openedCount += 1;
  }

  unexpectedResponse(address: string, kind: UnexpectedResponse): void {
    this.unexpectedResponses.record({ endpoint: address, labels: { kind } });
  }

  /** A request found a connection that has carried its id before. */
  repeatedId(address: string): void {
    this.repeatedIds.count({ endpoint: address, labels: {} });
  }

  /** Returns the counts by metric name. */
  metrics(): Record<string, number> {
    return {
      connections_opened: this.openedCount,
      ...this.unexpectedResponses.metrics(),
      ...this.repeatedIds.metrics(),
    };
  }
}
