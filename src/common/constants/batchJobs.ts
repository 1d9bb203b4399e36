/** Batch jobs: scheduling of items, results, listings and quotas. */
export const batchJobConstants = {
  /**
   * Time-out of a submission, ms. If its acceptance is not known by then, the caller may retry it elsewhere with the
   * same id.
   */
  jobSubmissionTimeoutMs: 5000,
  /** Maximum number of items in flight for each storage node and pool. */
  jobWindowMax: 8,
  /** Number of items in flight for each storage node while live requests overload the pool. */
  jobWindowMin: 1,
  /** Period of a leader's search for claims whose owner no longer runs them, ms. */
  abandonedClaimSearchMs: 2500,
  /** Period in which the dispatcher checks for free capacity, ms. */
  jobSchedulingPeriodMs: 40,
  /** Time for which the window stays small after a sign of overload, ms. */
  jobOverloadHoldMs: 600,
  /**
   * Share of a pool's capacity that items of batch jobs may use, over all storage nodes. Live requests take precedence
   * at an endpoint.
   */
  itemCapacityShare: 0.7,
  /**
   * Minimum length of a shared prefix for affinity, tokens. A shorter prefix is processed faster than its endpoint's
   * queue shrinks.
   */
  jobAffinityTokens: 2000,
  /**
   * Minimum number of items at which a storage node announces its demand; with fewer items it uses too little capacity
   * to matter.
   */
  jobDemandItems: 16,
  /** Minimum time between two announcements of a changed demand, ms. */
  jobDemandPeriodMs: 300,
  /** Lease of an announced demand, ms. */
  jobDemandLeaseMs: 900,
  /** Share of the items' capacity that remains while live requests have to wait and no batch job is nearly due. */
  itemOverloadedShare: 0.25,
  /**
   * Remaining time below which a batch job is not throttled by overload but has the same priority as live requests, ms.
   */
  jobUrgentMs: 4000,
  /** Time in which results are collected for one put, ms. */
  itemResultBatchMs: 30,
  /** Time-out of the response head of an item, ms. It is less than the time by which an ended job must have stopped. */
  itemResponseHeadMs: 2500,
  /** Pause before an item that did not run is tried at another endpoint, ms. */
  itemRetryMs: 60,
  /** Pause before an item is tried again after a failed response, ms. */
  itemFailureBackoffMs: 250,
  /** Time for which the bodies of a closed job are served to processes that have not received its last results, ms. */
  jobBodiesRetentionMs: 10_000,
  /** Delay after its deadline at which an item is abandoned, ms; it allows for differing clocks. */
  itemAbandonMarginMs: 1000,
  /** Extra lag of a replica's frontier above which another replica serves the listing, ms. */
  jobListMaxLagMs: 500,
  /** Share of the capacity in its own zone that a storage node's items fill before they use other zones. */
  itemSameZoneShare: 0.6,
  /** Maximum size of the results in one listing, bytes; it keeps the listing below 1 MB as JSON. */
  jobListBytes: 700_000,
  /**
   * Time for which items continue after their leader has lost its lease, ms. The leader mostly regains it within a few
   * ms.
   */
  leadershipRegainMs: 3000,
  /** Time for which a request about a job waits for the leader of its shard, ms; longer than a takeover. */
  jobLeaderSearchMs: 3000,
  /**
   * Time-out of one attempt to submit a job, ms; longer than a put that waits until a member is excluded from the view.
   */
  jobSubmissionAttemptMs: 1500,
  /** Time for which all replicas are asked for a listing, in addition to the time that its caller waits, ms. */
  jobListTimeoutMs: 2000,
  /** Time-out of one of these requests, in addition to the time that the caller waits, ms. */
  jobListAttemptMs: 250,
  /** Time-out of the request that ensures that an abandoned submission is never accepted later, ms. */
  jobRejectTimeoutMs: 900,
  /** Time-out of a leader's usage report, ms. After it, the report that another replica has is used. */
  usageReportTimeoutMs: 250,
  /** Age below which usage reports are not fetched again before a job is rejected, ms. */
  usageReportMaxAgeMs: 60,
  /** Maximum number of reservations that are kept until their jobs appear in the usage reports. */
  quotaReservationsMax: 512,
  /** Share of a pool's capacity that batch jobs never use. */
  liveReservedShare: 0.34,
  /** Maximum number of items in a batch job. */
  jobItemsMax: 2000,
} as const;
