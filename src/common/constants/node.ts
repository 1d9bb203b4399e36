/** A node: freezes, confirmation of the configuration, the feed from an agent to its ingress, shutdown. */
export const nodeConstants = {
  /** Delay of a timer above which the process counts as having been frozen and its leases as expired, ms. */
  clockJumpMs: 1000,
  /** Time after which an unused connection between members is closed, ms. */
  memberConnectionIdleMs: 30_000,
  /** Period of the clock watch, ms. */
  clockCheckPeriodMs: 200,
  /** Pause between requests for a read index, ms: about as often as a majority acknowledges the leader. */
  readIndexRetryMs: 150,
  /** Time-out of one such request, ms; includes the wait at the leader and the forwarding. */
  readIndexTimeoutMs: 600,
  /** Number of times that a request is forwarded: from any member to a control member, and from there to the leader. */
  readIndexMaxHops: 2,
  /** Time for which the leader waits for a contact that began after the request was sent, ms: two heartbeats. */
  readIndexWaitMaxMs: 300,
  /** Period in which the leader checks for such a contact, ms. */
  readIndexCheckPeriodMs: 20,
  /** Age of the newest read index above which a newer one is requested while batch items wait to start, ms. */
  readIndexRefreshMs: 700,
  /** Maximum age of the read index that is requested then, ms. */
  readIndexRefreshMaxAgeMs: 300,
  /**
   * Age of the newest read index above which no batch item starts, ms. With the time to connect to an endpoint it is less
   * than the two seconds in which a configuration must be in force.
   */
  recentConfirmationMs: 1500,
  /** Time for which batch items wait for a read index after which this is logged, ms. */
  confirmationWaitLogMs: 1000,
  /** Time after which the agent responds to its ingress even without a change, ms. */
  feedWaitMaxMs: 400,
  /** Period in which the agent checks for a newer snapshot, ms. */
  feedCheckPeriodMs: 20,
  /**
   * Time without contact to other members (for an ingress: to its agent) after which no new requests are accepted, ms;
   * less than the two seconds in which a configuration must be in force.
   */
  contactTimeoutMs: 1500,
  /** Time from SIGTERM to SIGKILL if the settings say nothing of it, ms. */
  gracePeriodMs: 8000,
  /** End of the grace period that is left for the last ledger notes and for leaving the cluster, ms. */
  shutdownReserveMs: 1200,
  /** Period in which a stopping process checks whether its work has ended, ms. */
  shutdownCheckPeriodMs: 50,
} as const;
