/** Leases of endpoints, and their announcements. */
export const endpointConstants = {
  /** ms; an endpoint that has not announced itself for so long is not selected. */
  endpointLeaseMs: 4000,
  /**
   * ms; an endpoint that has not announced itself for so long (two announcements and the time to spread) is selected
   * only if there is no other.
   */
  announcementOverdueMs: 2700,
  /** ms; an unchanged announcement is published at most this often: less than the usual pause between two. */
  endpointRenewPeriodMs: 900,
  /** ms; a smaller change of the end of warming up comes from delays on the way and is not published. */
  warmUpToleranceMs: 250,
  /** ms; a withdrawal is acknowledged once another member has it, or after this time. */
  withdrawalAckTimeoutMs: 300,
  /** ms; an endpoint without instance names may come back so long after its withdrawal. */
  reannounceDelayMs: 5000,
} as const;
