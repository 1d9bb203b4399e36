/** The consensus group and the control leader. */
export const controlConstants = {
  /** Minimum time without a leader before an election starts, ms. */
  electionTimeoutMinMs: 900,
  /** Minimum pause after a pre-vote without a majority, ms; a pre-vote binds no voter. */
  preVoteRetryMinMs: 150,
  /** Approximate time until an election after a restart of all voters, ms. */
  restartElectionMs: 120,
  /** Maximum pause between two checks of the election timer, ms. */
  electionCheckMaxMs: 300,
  /** Random part of the election time-out, ms, so that two voters seldom become candidates at once. */
  electionTimeoutSpreadMs: 700,
  /** Period of the leader's AppendEntries requests, ms. */
  heartbeatMs: 150,
  /** Lease of the control leader, counted from the sending of a request, ms; less than electionTimeoutMinMs. */
  controlLeaseMs: 800,
  /** Time for which a stopping leader waits for a successor with the whole log and for its response, ms. */
  leadershipTransferTimeoutMs: 300,
  /** Maximum size of the entries in one request, and of a chunk of a longer payload, bytes: 52 ms at 20 Mbit/s. */
  appendEntriesMaxBytes: 131_072,
  /** Minimum size of a chunk, bytes. Chunks shrink to this size while they are not acknowledged in time. */
  payloadChunkMinBytes: 8192,
  /** Time after which an unacknowledged request or chunk is sent again, ms. */
  appendEntriesTimeoutMs: 600,
  /** Number of consecutive failures after which the payload is created again from the follower's progress. */
  payloadChunkAttempts: 20,
  /** Maximum size of a packed payload (snapshot or entry) that a follower accepts, bytes. */
  packedPayloadMaxBytes: 67_108_864,
  /** Maximum size of an unpacked payload that a follower accepts, bytes. */
  unpackedPayloadMaxBytes: 268_435_456,
  /** Minimum time between two log lines about the same reason for rejecting messages of the group, ms. */
  rejectionLogPeriodMs: 5000,
  /** Length above which the log is compacted into a snapshot, entries. */
  logEntriesUntilSnapshot: 400,
  /** Size above which the log is compacted into a snapshot, bytes, so that a start reads at most two such logs. */
  logBytesUntilSnapshot: 4_194_304,
  /**
   * Entries before a snapshot that stay in memory, for followers that are slightly behind or still receive the previous
   * snapshot.
   */
  trailingLogEntries: 500,
  /** Maximum size of these entries, bytes. */
  trailingLogBytes: 4_194_304,
  /** Time-out of a proposal, ms. After it, the outcome is reported to the operator as unknown. */
  proposeTimeoutMs: 1800,
  /** Time for which a newly elected leader may not have discovered every storage node, ms. */
  storeDiscoveryAfterElectionMs: 4000,
  /** Delay before a dead voter is replaced, ms: within the time allowed for one loss, and before the next may occur. */
  deadVoterDelayMs: 200,
  /** Delay before a voter whose disk fails all writes is replaced by a standby, ms; shorter faults end by themselves. */
  unwritableVoterDelayMs: 2000,
  /** Delay before a voter that left is replaced, ms. Most voters restart on the same disk before. */
  leftVoterDelayMs: 1500,
  /**
   * Time since its own start after which a leader regards a voter that it has not discovered as lost, ms. After a power
   * loss of all processes, no member knows who is missing.
   */
  undiscoveredVoterDelayMs: 2000,
  /** Minimum time since its election after which a leader regards an undiscovered voter as lost, ms. */
  undiscoveredVoterLeaderDelayMs: 400,
  /** Period in which the leader checks its voters and a follower checks whether it has become the leader, ms. */
  leaderTaskPeriodMs: 150,
  /**
   * Gap between the log of its voter and the first index and term of a recovered group; larger than what the lost
   * voters may have had in addition.
   */
  recoveryIndexGap: 1_000_000,
  /** Gap between the known and the first epoch of shard views in a recovered group. */
  recoveryEpochGap: 1_000_000,
  /**
   * Machines that may be lost at once, if the settings do not specify it. This gives three voters, so that two of three
   * are on one side when a partition splits four machines in halves.
   */
  toleratedLosses: 1,
  /** Time for which a group that was bootstrapped with too few voters accepts no first change, ms. */
  groupGrowthWaitMs: 4000,
  /** Pause between attempts to bootstrap the consensus group, ms. */
  bootstrapRetryMs: 300,
  /** Number of ended calendar entries that the state retains; the ledger has the older ones. */
  endedEntriesRetained: 1000,
  /**
   * Number of accepted changes that are retained for each document, 26 bytes each in a snapshot. A retry of an older
   * change gets no definite outcome.
   */
  acceptedChangesRetained: 10_000,
  /** Number of hexadecimal digits that are stored of the hash of a change id. */
  changeDigestLength: 15,
  /** Number of outcomes of changes that are retained by change id. */
  changeOutcomesRetained: 2000,
  /** Maximum lag of a standby that may become a voter, entries. */
  standbyMaxLag: 20,
  /** Pause before the first attempt to use a disk again after a failed write, ms. */
  diskRetryMinMs: 100,
  /** Maximum pause between such attempts, ms; a machine counts as lost for several times as long after its trouble. */
  diskRetryMaxMs: 800,
  /** Period in which the leader checks the calendar for due entries, ms. */
  calendarPeriodMs: 250,
  /** Delay before a drained zone is checked again, ms. */
  drainRecheckMs: 1500,
} as const;
