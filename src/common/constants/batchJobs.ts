/** Batch jobs: window, share, results, listing, quota. */
export const batchJobConstants = {
  /** ms; a submission whose acceptance is not known by then: its caller may retry with the same id, elsewhere. */
  jobSubmissionTimeoutMs: 5000,
  /** Items in flight for a storage node and pool, at most. */
  jobWindowMax: 8,
  /** Items in flight for a storage node while live requests overload the pool. */
  jobWindowMin: 1,
  /** ms; period in which a leader searches for claims whose owner no longer runs them. */
  abandonedClaimSearchMs: 2500,
  /** ms; period in which the dispatcher checks for free capacity. */
  jobSchedulingPeriodMs: 40,
  /** ms; after a sign of overload the window stays small for so long. */
  jobOverloadHoldMs: 600,
  /**
   * Share of a pool's slots that items of batch jobs may use, over all storage nodes; live requests take precedence
   * at an endpoint.
   */
  itemCapacityShare: 0.7,
  /** Tokens; a shorter shared prefix is processed faster than its endpoint's queue shrinks. */
  jobAffinityTokens: 2000,
  /** Items; a storage node that runs fewer uses so little capacity that it need not announce it. */
  jobDemandItems: 16,
  /** ms; a changed demand is announced at most this often. */
  jobDemandPeriodMs: 300,
  /** ms; and counts for so long. */
  jobDemandLeaseMs: 900,
  /** Share of that, while live requests have to wait and no batch job is nearly due. */
  itemOverloadedShare: 0.25,
  /**
   * ms; a batch job that is due so soon is not throttled by overload: it has the same priority as live requests.
   */
  jobUrgentMs: 4000,
  /** ms; results that arrive within this time share one put. */
  itemResultBatchMs: 30,
  /**
   * ms; an attempt of an item without a response head by then is given up; less than the time by which an ended job
   * must have stopped.
   */
  itemResponseHeadMs: 2500,
  /** ms; pause before an item that did not run is tried at another endpoint. */
  itemRetryMs: 60,
  /** ms; the same after a failed response. */
  itemFailureBackoffMs: 250,
  /**
   * ms; the bodies of a closed job are served for so long, to processes that have not learned of its last results.
   */
  jobBodiesRetentionMs: 10_000,
  /** ms; an item is given up so much after its deadline, since clocks differ. */
  itemAbandonMarginMs: 1000,
  /** ms; a replica whose frontier lags by so much more than it must leaves the listing to another. */
  jobListMaxLagMs: 500,
  /** Share of its own zone's slots that a storage node's items fill before they use other zones. */
  itemSameZoneShare: 0.6,
  /** bytes of results in one listing, so that it stays under 1 MB as JSON. */
  jobListBytes: 700_000,
  /** ms; items run on for so long after their leader lost its lease: it mostly regains it within a few ms. */
  leadershipRegainMs: 3000,
  /** ms; a submission waits so long for its shard's leader to be found: longer than a takeover. */
  jobLeaderSearchMs: 3000,
  /** ms; one attempt to submit a job: longer than a put that waits for a member to be left out. */
  jobSubmissionAttemptMs: 1500,
  /** ms; for so long all replicas are asked for a listing, beyond what its caller would wait. */
  jobListTimeoutMs: 2000,
  /** ms; one request of these. */
  jobListAttemptMs: 250,
  /** ms; to make certain that a job that was given up is never accepted later. */
  jobRejectTimeoutMs: 900,
  /** ms; a leader that has not sent its usage report by then is counted as another replica knows it. */
  usageReportTimeoutMs: 250,
  /** ms; usage reports so young are not fetched again before a job is rejected. */
  usageReportMaxAgeMs: 60,
  /** Reservations that are remembered until their jobs are in the usage reports. */
  quotaReservationsMax: 512,
  /** Share of a pool's slots that batch jobs never use. */
  liveReservedShare: 0.34,
  /** Items in one batch job. */
  jobItemsMax: 2000,
} as const;
