/** Membership and its failure detector (SWIM). */
export const membershipConstants = {
  /**
   * Period of probes, ms. Each member probes one member per period, so some member probes a dead one within about one
   * period.
   */
  probePeriodMs: 400,
  /** Time-out of a direct acknowledgement, ms; three times ε, so that a busy member is not probed indirectly. */
  probeTimeoutMs: 150,
  /** Time-out of an acknowledgement by way of other members, ms. */
  indirectTimeoutMs: 250,
  /** Delay of this process's own timers above which a probe gives no result, ms. */
  maxTimerDelayMs: 100,
  /** Number of members that probe an unresponsive member before it becomes suspect. */
  indirectProbes: 3,
  /** Time in which a suspect can refute the suspicion, ms; keeps detection below 2.5 s and takeover below 12 s. */
  suspicionTimeoutMs: 1500,
  /**
   * Time for which a member that died or left is retained, ms, so that outdated updates cannot make it active again.
   */
  deadMemberRetentionMs: 60_000,
  /** Maximum number of updates in a datagram; keeps it within one frame of the network. */
  piggybackMaxUpdates: 8,
  /** Number of times that each node sends an update: about 2·log2 of 24 members. */
  piggybackTransmissions: 6,
  /** Number of newest clock samples that are kept; the skew is estimated by their median. */
  clockSamplesMax: 9,
  /**
   * Time after its start for which a member uses shorter periods, ms, because after a common start no member knows any
   * other.
   */
  startupPhaseMs: 4000,
  /** Factor that shortens the usual periods in this time. */
  startupPeriodFactor: 0.25,
  /** Number of buckets of members. Buckets are compared one by one only if the total checksums differ. */
  memberBuckets: 16,
  /** Pause between contacts to seeds until the member has joined, ms. */
  joinRetryMs: 500,
  /** Pause between contacts to seeds after the member has joined, ms; they detect that a partition has healed. */
  rejoinPeriodMs: 2000,
} as const;
