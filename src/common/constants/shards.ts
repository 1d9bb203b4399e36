/** Replicated shards: views, leases, replication, log, segments, reads and the ledger. */
export const shardConstants = {
  /** Shards; twice the storage machines, so that a lost one spreads its work. */
  shardCount: 8,
  /** Replicas of a shard; two storage nodes may be lost at once. */
  replicasPerShard: 3,
  /** Replicas; below this, new batch jobs are rejected as busy. */
  minReplicasForJobs: 2,
  /** ms; the leader's lease from every other member of its view; the lease of a lost leader must run out. */
  shardLeaseMs: 800,
  /** ms; the leader stops so much before its lease ends. */
  shardLeaseMarginMs: 100,
  /** ms; period of renewals while idle, which also carry the frontier to the replicas; puts renew it too. */
  leaseRenewMs: 150,
  /**
   * ms; a member that has not synced for so long is left out by a new view while its leader is alive: some 10 of the
   * longest stalls seen.
   */
  memberTimeoutMs: 400,
  /**
   * ms; three lease renewals missed by the control leader and every other member: a new view need not wait for
   * suspicion.
   */
  leaderTimeoutMs: 500,
  /** ms; a member that has not synced by then counts as silent since the request. */
  replicateTimeoutMs: 300,
  /** ms; a member that has not responded to a seal by then is left out of the next view. */
  sealTimeoutMs: 700,
  /**
   * ms; a node that does not have the sealed end by then is left out of the next view; a missing tail takes a few ms.
   */
  logSyncTimeoutMs: 1500,
  /** ms; the leader polls every storage node this often; at once when one requests a check. */
  statusPeriodMs: 400,
  /** ms; a storage node whose status is older counts as down. */
  statusMaxAgeMs: 1800,
  /** ms; a poll of the storage nodes waits so long for the slowest. */
  statusPollTimeoutMs: 100,
  /** ms; shortest pause between two polls, so that requested checks share one. */
  statusPollGapMs: 60,
  /** ms; a claim that waited longer for its delivery is released: another may be the owner by now. */
  claimMaxAgeMs: 1000,
  /** ms; the first views wait this long for storage nodes to be discovered. */
  storeDiscoveryMs: 2500,
  /** Entries; a longer log is folded into a checkpoint, and so many stay in memory for others to catch up by. */
  shardLogMaxEntries: 500,
  /** bytes; or past this size, so that a start reads no more than two such logs. */
  shardLogMaxBytes: 4_194_304,
  /** Puts; ordered and synced together. */
  putBatchMax: 256,
  /** Puts that wait for their order; past this, busy. */
  queuedPutsMax: 2048,
  /** Ranges of object ids that are compared by digest. */
  digestRanges: 16,
  /** bytes; below this free, nothing new is accepted; what was accepted can finish. */
  diskReserveBytes: 67_108_864,
  /** s; pause between attempts to use a failed disk, well inside the twelve seconds after it was freed. */
  diskRetrySeconds: 3,
  /** Entries; in one catch-up message. */
  catchUpEntriesMax: 200,
  /** ms; pause between two comparisons of the replicas of a shard. */
  repairPeriodMs: 10_000,
  /** Objects; in one segment: a few hundred KB, so that writing one takes a few ms. */
  segmentObjects: { works: 256, lots: 64, ledger: 1024 },
  /** Objects; the same in the simulator, so that half a minute of work seals, fills and reads segments. */
  simSegmentObjects: { works: 5, lots: 1, ledger: 48 },
  /** bits; of a ledger segment's Bloom filter: about one false positive in two hundred. */
  bloomBitsPerSubject: 12,
  /** ms; put ids are kept so long past the stamp or deadline of their put; nobody retries for longer than 20 s. */
  putOutcomeRetentionMs: 30_000,
  /**
   * ms; a refusal is kept for longer than the longest deadline, and so outlives every late attempt to open its
   * request.
   */
  rejectionRetentionMs: 700_000,
  /** ms; the leader calls a replica that is copying state again after this long. */
  stateTransferCallTimeoutMs: 6000,
  /** Entries of sealed segments in one response about a subject of a shard. */
  subjectEntriesMax: 2000,
  /** bytes of a segment in one message. */
  segmentChunkBytes: 1_048_576,
  /**
   * bytes a second that a replica takes from the source of its state transfer, so that live traffic has the disk.
   */
  segmentBytesPerSecond: 16_777_216,
  /** Attempts; a late put gets a new stamp at most this often. */
  restampAttempts: 8,
  /** ms; a read past the frontier waits at most this long. */
  readWaitMs: 2500,
  /** ms; pause between attempts while a shard's leader is being found. */
  leaderSearchPauseMs: 100,
  /** ms; a shard's leader that cannot be reached is searched for so long, then the response is busy. */
  leaderSearchTimeoutMs: 1500,
  /** ms; ledger entries about lookups are batched for so long. */
  ledgerFlushMs: 250,
  /** Entries that wait for that; beyond it the oldest are counted as lost. */
  ledgerBufferMax: 500,
} as const;
