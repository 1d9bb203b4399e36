/** Counters of the work that runs under a claim. The field names are metric names. */
export interface ExecutionCounters {
  /** Forwarded attempts of streaming requests. */
  streams: number;
  /** Forwarded attempts of requests with a single response. */
  singles: number;
  /** Forwarded attempts of batch items. */
  items: number;
  /** Live requests that were rejected because no endpoint had capacity. */
  busies: number;
  /** Live requests and items that may have run and whose outcome is unknown. */
  unknowns: number;
  /** Live requests that were resumed at another endpoint after an attempt that may have run. */
  resumed: number;
  /** Attempts that provably did not run. */
  released: number;
  /** Live requests that failed after a part of their response was stored, and could not be resumed. */
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
