import { EventSeries } from "../runtime/eventSeries";
import type { BodyFraming, Environment } from "../runtime/env";

/** Why the response of an endpoint ended before it was complete. */
export type CutCause =
  /** The connection failed. */
  | "reset"
  /** The endpoint closed the connection, or ended the response inside an event or without its last line. */
  | "truncated"
  /** Nothing arrived in time. */
  | "timeout";

/** A response that ended before it was complete. */
export interface CutResponse {
  endpointId: string;
  framing: BodyFraming;
  cause: CutCause;
  receivedBytes: number;
}

const RESPONSE_CUT_EVENT = 1205;

const instances = new WeakMap<Environment, CutResponses>();

/**
 * Counts the responses of endpoints that a process saw cut off, by endpoint, framing and cause, and logs them.
 *
 * @example
 * CutResponses.of(env).record({ endpointId: "r1", framing: "connection", cause: "reset", receivedBytes: 300 });
 */
export class CutResponses {
  private readonly series: EventSeries;
  private constructor(env: Environment) {
    this.series = new EventSeries(env, { metric: "cut_responses", logEvent: RESPONSE_CUT_EVENT });
  }

  /** Returns the counts of a process. */
  static of(env: Environment): CutResponses {
    const existing = instances.get(env);
    if (existing) return existing;
    const created = new CutResponses(env);
    instances.set(env, created);
    return created;
  }

  record({ endpointId, framing, cause, receivedBytes }: CutResponse): void {
    this.series.record({ endpoint: endpointId, labels: { framing, cause }, details: { receivedBytes } });
  }

  /** Returns the counts by metric name. */
  metrics(): Record<string, number> {
    return this.series.metrics();
  }
}
