/** Gossip: dissemination by pushes and repair by anti-entropy. */
export const gossipConstants = {
  /**
   * Time for which a fact that is not urgent waits for others to be pushed with it, ms: at most four pushes per second.
   */
  gossipFlushMs: 250,
  /**
   * Number of patches of the configuration that are retained for members a few versions behind: one minute at 91,000
   * changes a day.
   */
  configurationStepsRetained: 64,
  /** Number of buckets of facts. Buckets are compared one by one only if the total checksums differ. */
  gossipBuckets: 64,
  /** Maximum number of members that a node gossips with in a large cluster, so that it has few connections. */
  gossipPeersMax: 24,
  /**
   * Share of a lease after which a fact without renewal is requested with each digest: two announcements and the time
   * to spread.
   */
  staleLeaseShare: 0.45,
  /** Maximum number of facts that are requested with one digest. */
  staleFactsMax: 200,
  /** Number of members to which each push is sent. */
  gossipFanout: 3,
  /** Time-out of one request in an exchange of digests, ms. */
  digestTimeoutMs: 600,
  /** Time-out of a fetch of a control snapshot, the largest message of gossip, ms. */
  snapshotFetchTimeoutMs: 1500,
  /** Time after which a snapshot is requested from another member as well if the first has not responded, ms. */
  snapshotHedgeMs: 200,
  /** Maximum number of fetches of a control snapshot in progress. */
  snapshotFetchesMax: 3,
  /** Minimum pause between two exchanges of digests, ms. */
  digestPauseMinMs: 100,
  /** Pause between two exchanges of digests, ms; short enough to repair losses well within two seconds. */
  digestPeriodMs: 500,
  /** Retention of tombstones, ms; longer than every lease, so that an outdated fact never undoes a removal. */
  tombstoneRetentionMs: 30_000,
} as const;
