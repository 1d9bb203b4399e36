/** Membership and its failure detector (SWIM). */
export const membershipConstants = {
  /** ms; one member is probed a period: some member probes a dead one within about one period. */
  probePeriodMs: 400,
  /** ms; until a direct acknowledgement; three times ε, so that a busy member is not probed indirectly. */
  probeTimeoutMs: 150,
  /** ms; until an acknowledgement by way of other members. */
  indirectTimeoutMs: 250,
  /** ms; a probe whose timers fired so late gives no verdict. */
  maxTimerDelayMs: 100,
  /** Members; that probe a silent one before it becomes suspect. */
  indirectProbes: 3,
  /** ms; time for a suspect to refute; keeps detection under 2.5 s and takeover under 12 s. */
  suspicionTimeoutMs: 1500,
  /** ms; a dead or departed member is remembered, so that outdated updates cannot revive it. */
  deadMemberRetentionMs: 60_000,
  /** Updates in a datagram; keeps it within one frame of the network. */
  piggybackMaxUpdates: 8,
  /** Times that each node passes on an update: about 2·log2 of 24 members. */
  piggybackTransmissions: 6,
  /** Samples; the median of the newest ones is the estimated skew. */
  clockSamplesMax: 9,
  /**
   * ms; a member that has just started uses shorter periods for so long: after a common start nobody knows anybody.
   */
  startupPhaseMs: 4000,
  /** Share of the usual periods that applies meanwhile. */
  startupPeriodFactor: 0.25,
  /** Buckets of members; compared one by one only where the total checksums differ. */
  memberBuckets: 16,
  /** ms; pause between contacts to seeds until the member has joined. */
  joinRetryMs: 500,
  /** ms; the same once it has joined, so that a healed partition is noticed. */
  rejoinPeriodMs: 2000,
} as const;
