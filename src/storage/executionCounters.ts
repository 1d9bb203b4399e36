/** Counters of the work that runs under a claim; their names are names of metrics. */
export interface ExecutionCounters {
  /** Streams forwarded, each attempt counted. */
  streams: number;
  /** Single requests forwarded, each attempt counted. */
  singles: number;
  /** Batch items forwarded, each attempt counted. */
  items: number;
  /** Live requests rejected for want of capacity. */
  busies: number;
  /** Live requests and items whose outcome is unknown: they may have run. */
  unknowns: number;
  /** Live requests that went on at another endpoint after an attempt that may have run. */
  resumed: number;
  /** Attempts that provably did not run. */
  released: number;
  /** Live requests that failed after a part of their response. */
  failed: number;
}

export const newExecutionCounters = (): ExecutionCounters => ({
  streams: 0,
  singles: 0,
  items: 0,
  busies: 0,
  unknowns: 0,
  resumed: 0,
  released: 0,
  failed: 0,
});
