/** The consensus group and the control leader. */
export const controlConstants = {
  /** ms; the shortest time without a leader before a vote is asked for. */
  electionTimeoutMinMs: 900,
  /** ms; the shortest pause after a pre-vote without a majority: a pre-vote binds nobody. */
  preVoteRetryMinMs: 150,
  /** ms; after a restart of all voters an election is due about so soon. */
  restartElectionMs: 120,
  /** ms; the longest pause between two checks of the election timer. */
  electionCheckMaxMs: 300,
  /** ms; random part of the election time-out, so that two servers seldom stand at once. */
  electionTimeoutSpreadMs: 700,
  /** ms; period of the leader's AppendEntries requests. */
  heartbeatMs: 150,
  /** ms; lease of the control leader, counted from the sending of a request; below electionTimeoutMinMs. */
  controlLeaseMs: 800,
  /** ms; a leader that stops waits so long for a successor with the whole log, and for its response. */
  leadershipTransferTimeoutMs: 300,
  /** bytes; of the entries in one request, and of a chunk of a longer payload: 52 ms at 20 Mbit/s. */
  appendEntriesMaxBytes: 131_072,
  /** bytes; chunks shrink down to this while they are not acknowledged in time. */
  payloadChunkMinBytes: 8192,
  /** ms; a request or a chunk not acknowledged by then is sent again. */
  appendEntriesTimeoutMs: 600,
  /** Failures in a row; then the payload is made anew from the follower's progress. */
  payloadChunkAttempts: 20,
  /** bytes; of a packed payload (snapshot or entry) that a follower accepts. */
  packedPayloadMaxBytes: 67_108_864,
  /** bytes; the same unpacked. */
  unpackedPayloadMaxBytes: 268_435_456,
  /** ms; a reason for which messages of the group are rejected is logged at most this often. */
  rejectionLogPeriodMs: 5000,
  /** Entries; the log is compacted into a snapshot past this length. */
  logEntriesUntilSnapshot: 400,
  /** bytes; or past this size, so that a start reads no more than two such logs. */
  logBytesUntilSnapshot: 4_194_304,
  /**
   * Entries; stay in memory before a snapshot, for followers a little behind or still receiving the snapshot before.
   */
  trailingLogEntries: 500,
  /** bytes; of those, at most. */
  trailingLogBytes: 4_194_304,
  /** ms; an operator waits this long before fate is called unknown. */
  proposeTimeoutMs: 1800,
  /** ms; a leader that was just elected may not have discovered every storage node for this long. */
  storeDiscoveryAfterElectionMs: 4000,
  /**
   * ms; a voter that is found dead is replaced this much later: inside the time that a loss counts, and before the
   * next may come.
   */
  deadVoterDelayMs: 200,
  /** ms; a voter that left in order is replaced this much later: most restart on the same disk before. */
  leftVoterDelayMs: 1500,
  /**
   * ms; a voter that a leader has not discovered for so long since its own start counts as lost: after a power loss
   * of all nobody remembers who is missing.
   */
  undiscoveredVoterDelayMs: 2000,
  /** ms; and so long since it became the leader. */
  undiscoveredVoterLeaderDelayMs: 400,
  /** ms; how often the leader checks its voters, and a follower whether it has become the leader. */
  leaderTaskPeriodMs: 150,
  /**
   * Indexes and terms; a recovered group begins so far above its voter's log, past all that the lost voters may have
   * had.
   */
  recoveryIndexGap: 1_000_000,
  /** Epochs; the same for shard views. */
  recoveryEpochGap: 1_000_000,
  /**
   * Machines; lost at once, where settings don't say: three voters, so that a cut in two of four leaves two of three
   * on one side.
   */
  toleratedLosses: 1,
  /** ms; a group that was bootstrapped with too few voters takes no first change for so long. */
  groupGrowthWaitMs: 4000,
  /** ms; pause between attempts to bootstrap the consensus group. */
  bootstrapRetryMs: 300,
  /** Ended calendar entries that the state retains; the ledger has the older ones. */
  endedEntriesRetained: 1000,
  /**
   * Accepted changes remembered for each document; 26 bytes each in a snapshot; a retry of an older one gets no
   * definite outcome.
   */
  acceptedChangesRetained: 10_000,
  /** Hexadecimal digits of a change id's hash that are stored. */
  changeDigestLength: 15,
  /** Outcomes of changes remembered by change id. */
  changeOutcomesRetained: 2000,
  /** Entries; a standby this close may become a voter. */
  standbyMaxLag: 20,
  /** ms; how often the leader checks the calendar for due entries. */
  calendarPeriodMs: 250,
  /** ms; a drained zone is checked again after this long. */
  drainRecheckMs: 1500,
} as const;
