/** Replicated shards: views, leases, replication, log, segments, reads and the ledger. */
export const shardConstants = {
  /**
   * Number of shards; twice the number of storage machines, so that the load of a lost machine is spread over others.
   */
  shardCount: 8,
  /** Number of replicas of a shard; two storage nodes may be lost at once. */
  replicasPerShard: 3,
  /** Number of replicas below which new batch jobs are rejected as busy. */
  minReplicasForJobs: 2,
  /**
   * Lease that the leader has from every other member of its view, ms. The lease of a lost leader must expire before a
   * takeover.
   */
  shardLeaseMs: 800,
  /** Time before the end of its lease at which the leader stops, ms. */
  shardLeaseMarginMs: 100,
  /** Period of lease renewals while idle, ms. They also send the frontier to the replicas; puts renew the lease too. */
  leaseRenewMs: 150,
  /**
   * Time without a sync after which a new view excludes a member while its leader is alive, ms: about 10 times the
   * longest stalls observed.
   */
  memberTimeoutMs: 400,
  /**
   * Time without contact after which the control leader and every other member regard a shard's leader as failed, ms:
   * three missed lease renewals. A new view then does not wait for a suspicion.
   */
  leaderTimeoutMs: 500,
  /** Time-out of a replication request, ms. After it, the member counts as unresponsive since the request. */
  replicateTimeoutMs: 300,
  /** Time-out of the response to a seal, ms. After it, the member is excluded from the next view. */
  sealTimeoutMs: 700,
  /**
   * Time-out of the transfer of the sealed end of a log, ms. After it, the node is excluded from the next view; a
   * missing tail takes a few ms.
   */
  logSyncTimeoutMs: 1500,
  /** Period in which the leader polls every storage node, ms; it polls at once when a node requests a check. */
  statusPeriodMs: 400,
  /** Age of its status above which a storage node counts as down, ms. */
  statusMaxAgeMs: 1800,
  /** Time for which a poll of the storage nodes waits for the slowest, ms. */
  statusPollTimeoutMs: 100,
  /** Minimum pause between two polls, ms, so that several requested checks share one. */
  statusPollGapMs: 60,
  /** Age above which an undelivered claim is released, ms, because another node may be the owner by now. */
  claimMaxAgeMs: 1000,
  /** Time for which the first views wait for storage nodes to be discovered, ms. */
  storeDiscoveryMs: 2500,
  /**
   * Length above which the log is compacted into a checkpoint, entries. As many entries stay in memory for other
   * replicas to catch up.
   */
  shardLogMaxEntries: 500,
  /** Size above which the log is compacted, bytes, so that a start reads at most two such logs. */
  shardLogMaxBytes: 4_194_304,
  /** Maximum number of puts that are ordered and synced together. */
  putBatchMax: 256,
  /** Maximum number of puts that wait to be ordered; further puts are rejected as busy. */
  queuedPutsMax: 2048,
  /** Number of ranges of object ids that are compared by digest. */
  digestRanges: 16,
  /** Free space below which nothing new is accepted, bytes; what was accepted can finish. */
  diskReserveBytes: 67_108_864,
  /** Pause between attempts to use a failed disk, s; a machine counts as lost for several times as long. */
  diskRetrySeconds: 1,
  /** Maximum number of entries in one catch-up message. */
  catchUpEntriesMax: 200,
  /** Pause between two comparisons of the replicas of a shard, ms. */
  repairPeriodMs: 10_000,
  /** Number of objects in one segment; a segment has a few hundred KB, so that writing it takes a few ms. */
  segmentObjects: { works: 256, lots: 64, ledger: 1024 },
  /**
   * Number of objects in one segment in the simulator, so that half a minute of load seals, transfers and reads
   * segments.
   */
  simSegmentObjects: { works: 5, lots: 1, ledger: 48 },
  /** Size of a ledger segment's Bloom filter per subject, bits: about one false positive in two hundred. */
  bloomBitsPerSubject: 12,
  /** Retention of put ids after the timestamp or deadline of their put, ms. No process retries for longer than 20 s. */
  putOutcomeRetentionMs: 30_000,
  /**
   * Retention of a rejection, ms; longer than the maximum deadline, so that it outlives every delayed attempt to open
   * its request.
   */
  rejectionRetentionMs: 700_000,
  /** Time after which the leader repeats its call to a replica that is still copying state, ms. */
  stateTransferCallTimeoutMs: 6000,
  /** Maximum number of entries of sealed segments in one response about a subject. */
  subjectEntriesMax: 2000,
  /** Maximum number of bytes of a segment in one message. */
  segmentChunkBytes: 1_048_576,
  /**
   * Rate at which a replica reads from the source of its state transfer, bytes per second; leaves the disk free for
   * live traffic.
   */
  segmentBytesPerSecond: 16_777_216,
  /** Maximum number of times that a late put gets a new timestamp. */
  restampAttempts: 8,
  /** Maximum time for which a read beyond the frontier waits, ms. */
  readWaitMs: 2500,
  /** Pause between attempts while the leader of a shard is searched for, ms. */
  leaderSearchPauseMs: 100,
  /** Time for which an unreachable leader of a shard is searched for, ms; after it, the response is busy. */
  leaderSearchTimeoutMs: 1500,
  /** Time in which ledger entries about lookups are collected for one batch, ms. */
  ledgerFlushMs: 250,
  /** Maximum number of entries that wait for the batch; above it, the oldest are discarded and counted as lost. */
  ledgerBufferMax: 500,
} as const;
