/** Leases and announcements of endpoints. */
export const endpointConstants = {
  /** Lease of an endpoint, ms. An endpoint that has not announced itself for this time is not selected. */
  endpointLeaseMs: 4000,
  /**
   * Time without an announcement after which an endpoint is selected only if there is no other, ms: two announcements
   * and the time to spread.
   */
  announcementOverdueMs: 2700,
  /**
   * Minimum time between two publications of an unchanged announcement, ms; less than the usual pause between two
   * announcements.
   */
  endpointRenewPeriodMs: 900,
  /** Change of the end of warming up that is not published because network delays explain it, ms. */
  warmUpToleranceMs: 250,
  /**
   * Time-out of the replication of a withdrawal, ms. The withdrawal is acknowledged once another member has it, or
   * after this time.
   */
  withdrawalAckTimeoutMs: 300,
  /** Time after its withdrawal at which an endpoint without instance names may announce itself again, ms. */
  reannounceDelayMs: 5000,
} as const;
