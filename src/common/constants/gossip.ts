/** Gossip: dissemination by push and repair by digests. */
export const gossipConstants = {
  /** ms; a fact that is not urgent waits so long for others: at most four pushes a second. */
  gossipFlushMs: 250,
  /**
   * Patches of the configuration that are kept for members a few versions behind: a minute of them at 91,000 changes
   * a day.
   */
  configurationStepsRetained: 64,
  /** Buckets of facts; compared one by one only where the total checksums differ. */
  gossipBuckets: 64,
  /** Members; in a larger cluster a node gossips with these only, so that it has few connections. */
  gossipPeersMax: 24,
  /**
   * Share of a lease; a fact that was not renewed for so long (two announcements and the time to spread) is asked for
   * with each digest.
   */
  staleLeaseShare: 0.45,
  /** Facts asked for at once, at most. */
  staleFactsMax: 200,
  /** Members that one push goes to. */
  gossipFanout: 3,
  /** ms; one request of an exchange of digests. */
  digestTimeoutMs: 600,
  /** ms; one fetch of a control snapshot, the largest message of gossip. */
  snapshotFetchTimeoutMs: 1500,
  /** ms; pause between two exchanges of digests; repairs gaps well within two seconds. */
  digestPeriodMs: 500,
  /** ms; longer than every lease, so that a removal is never undone by an outdated fact. */
  tombstoneRetentionMs: 30_000,
} as const;
