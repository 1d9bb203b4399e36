/** The interval at which the log repeats an event of one series, in ms. */
const LOG_INTERVAL_MS = 1000;
/** The number of series that are kept; the endpoints of further ones are counted together. */
const MAX_SERIES = 500;
const OTHER_ENDPOINTS = "other";

/** The occurrences of an event with the same labels. */
interface Series {
  count: number;
  /** The number that the last log event reported. */
  loggedCount: number;
  /** Monotonic ms. */
  loggedAt: number;
}

/** What the series of a process need of its environment. */
export interface EventLog {
  /** The monotonic clock, in ms. */
  monotonicMs(): number;
  log(event: number, fields: Record<string, unknown>): void;
}

/** One occurrence: its labels name the series, its details are only logged. */
export interface EndpointOccurrence {
  endpoint: string;
  labels: Record<string, string>;
  details?: Record<string, unknown>;
}

/**
 * Counts what happens at endpoints, in one series for each endpoint and combination of labels, and logs each series once a
 * second at the most. The number of series is bounded.
 *
 * @example
 * const cuts = new EventSeries(env, { metric: "cut_responses", logEvent: 1205 });
 * cuts.record({ endpoint: "r1", labels: { cause: "reset" } });
 * cuts.metrics() // { 'cut_responses{endpoint="r1",cause="reset"}': 1 }
 */
export class EventSeries {
  private readonly seriesByLabels = new Map<string, Series>();
  constructor(
    private readonly env: EventLog,
    private readonly names: { metric: string; logEvent: number },
  ) {}

  record(occurrence: EndpointOccurrence): void {
    const { endpoint, labels, details } = occurrence;
    const series = this.count(occurrence);
    const now = this.env.monotonicMs();
    if (now - series.loggedAt < LOG_INTERVAL_MS) return;
    const times = series.count - series.loggedCount;
    this.env.log(this.names.logEvent, { endpoint, ...labels, ...details, times });
    series.loggedAt = now;
    series.loggedCount = series.count;
  }

  /** Counts without logging. */
  count({ endpoint, labels }: EndpointOccurrence): Series {
    const isKept = this.seriesByLabels.size < MAX_SERIES || this.seriesByLabels.has(labelText(endpoint, labels));
    const key = labelText(isKept ? endpoint : OTHER_ENDPOINTS, labels);
    const series = this.seriesByLabels.get(key) ?? { count: 0, loggedCount: 0, loggedAt: -Infinity };
    this.seriesByLabels.set(key, series);
    series.count += 1;
    return series;
  }

  /** Returns the counts by metric name. */
  metrics(): Record<string, number> {
    const { metric } = this.names;
    return Object.fromEntries([...this.seriesByLabels].map(([labels, { count }]) => [`${metric}${labels}`, count]));
  }
}

function labelText(endpoint: string, labels: Record<string, string>): string {
  const pairs = Object.entries({ endpoint, ...labels }).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `{${pairs.join(",")}}`;
}
