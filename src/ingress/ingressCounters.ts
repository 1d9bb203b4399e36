/** The counters of an ingress since it started. */
export class IngressCounters {
  /** Attempts to send a request to an endpoint without a shard. */
  lookups = 0;
  /** Requests opened at a shard. */
  streams = 0;
  /** Batch jobs submitted. */
  jobs = 0;
  /** Requests that were rejected as busy and never ran. */
  rejections = 0;
  /** Requests that failed and may have run. */
  failures = 0;
  /** Streams that their callers resumed. */
  resumes = 0;
  /** Ledger notes that were dropped. */
  droppedNotes = 0;
  /** The number of times the cluster snapshot became stale. */
  staleSnapshots = 0;

  /** Returns the counters by metric name. */
  metrics(): Record<string, number> {
    return {
      lookups: this.lookups,
      streams: this.streams,
      lots: this.jobs,
      busies: this.rejections,
      failures: this.failures,
      resumes: this.resumes,
      notes_lost: this.droppedNotes,
      stale: this.staleSnapshots,
    };
  }
}
