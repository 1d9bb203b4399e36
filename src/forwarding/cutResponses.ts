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
/** The interval at which the log repeats an event of one endpoint, framing and cause. */
const LOG_INTERVAL_MS = 1000;
/** The number of series that are kept; the endpoints of further ones are counted together. */
const MAX_SERIES = 500;
const OTHER_ENDPOINTS = "other";

/** The cut responses of one endpoint with the same framing and cause. */
interface Series {
  count: number;
  /** The number that the last log event reported. */
  loggedCount: number;
  /** Monotonic ms. */
  loggedAt: number;
}

const instances = new WeakMap<Environment, CutResponses>();

/**
 * Counts the responses of endpoints that a process saw cut off, by endpoint, framing and cause, and logs them.
 *
 * @example
 * CutResponses.of(env).record({ endpointId: "r1", framing: "connection", cause: "reset", receivedBytes: 300 });
 */
export class CutResponses {
  private readonly seriesByLabels = new Map<string, Series>();
  private constructor(private readonly env: Environment) {}

  /** Returns the counts of a process. */
  static of(env: Environment): CutResponses {
    const existing = instances.get(env);
    if (existing) return existing;
    const created = new CutResponses(env);
    instances.set(env, created);
    return created;
  }

  record(cut: CutResponse): void {
    const { endpointId, framing, cause, receivedBytes } = cut;
    const series = this.seriesOf(cut);
    series.count += 1;
    const now = this.env.monotonicMs();
    if (now - series.loggedAt < LOG_INTERVAL_MS) return;
    const times = series.count - series.loggedCount;
    this.env.log(RESPONSE_CUT_EVENT, { endpoint: endpointId, framing, cause, receivedBytes, times });
    series.loggedAt = now;
    series.loggedCount = series.count;
  }

  /** Returns the counts by metric name. */
  metrics(): Record<string, number> {
    return Object.fromEntries([...this.seriesByLabels].map(([labels, { count }]) => [`cut_responses${labels}`, count]));
  }

  private seriesOf({ endpointId, framing, cause }: CutResponse): Series {
    const labelsFor = (endpoint: string): string =>
      `{endpoint=${JSON.stringify(endpoint)},framing="${framing}",cause="${cause}"}`;
    const isKept = this.seriesByLabels.size < MAX_SERIES || this.seriesByLabels.has(labelsFor(endpointId));
    const labels = labelsFor(isKept ? endpointId : OTHER_ENDPOINTS);
    const series = this.seriesByLabels.get(labels) ?? { count: 0, loggedCount: 0, loggedAt: -Infinity };
    this.seriesByLabels.set(labels, series);
    return series;
  }
}
