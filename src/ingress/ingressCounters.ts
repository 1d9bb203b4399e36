/** Counters of an ingress since its start. */
export class IngressCounters {
  /** Attempts to send a request to an endpoint without a shard. */
  lookups = 0;
  /** Requests opened at a shard. */
  streams = 0;
  /** Batch jobs submitted. */
  jobs = 0;
  /** Requests rejected as busy, which never ran. */
  rejections = 0;
  /** Requests that failed and may have run. */
  failures = 0;
  /** Streams resumed by their callers. */
  resumes = 0;
  /** Ledger notes that were dropped. */
  droppedNotes = 0;
  /** Times that the cluster snapshot went stale. */
  staleSnapshots = 0;

  /** The counters under the names of their metrics. */
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
