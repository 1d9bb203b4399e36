/** Selection of endpoints: slow start, prefix affinity, outlier ejection. */
export const routingConstants = {
  /** ms; slow start: a new endpoint reaches its full share over this time. */
  slowStartMs: 6000,
  /** Starts a second for each slot, times the share, from all senders together. */
  slowStartPerSecond: 4,
  /** Share of a new endpoint at its start. */
  slowStartFloor: 0.15,
  /**
   * ms; an endpoint counts as warming up so much longer than it announced: the announcement was delayed on its way.
   */
  coldMarginMs: 400,
  /** ms; the shortest time between one sender's requests to an endpoint that is warming up. */
  coldIntervalMs: 120,
  /** ms; after its start a sender does not know for so long how many share a budget. */
  sendersSettleMs: 3000,
  /** Share of an endpoint's connections that all senders together plan with. */
  connectionShare: 0.85,
  /** Tokens that an endpoint prefills in a ms: an estimate that only tells prefixes that are worth affinity. */
  promptTokensPerMs: 100,
  /** Share of the latency target; a shared prefix whose prefill is shorter attracts no requests. */
  affinityTargetShare: 0.1,
  /** Parts of one prompt that are compared. */
  promptPartsMax: 64,
  /** Factor; prefix affinity yields above this multiple of the mean load. */
  boundedLoad: 1.25,
  /** Failures in a row until an endpoint is ejected. */
  ejectFailures: 3,
  /** ms; it is ejected for so long, then probed with one request. */
  ejectMs: 3000,
  /** ms; failures that senders report to each other count for so long. */
  failureWindowMs: 2500,
  /** ms; a sender reports at most this often. */
  failureReportPeriodMs: 300,
  /** Failures within the window, over all senders, from which an endpoint may be ejected. */
  sharedFailures: 2,
  /** Factor; an ejected endpoint fails this many times as often as the mean of its pool. */
  outlierFactor: 2.5,
  /** Standard deviations (of a Poisson count) by which it exceeds that mean, so that chance ejects none. */
  outlierDeviations: 3,
  /** Share of a pool that reports eject at once, at most. */
  ejectedShareMax: 0.34,
  /** Factor; a request without any answer after this multiple of its latency target counts as a failure. */
  unansweredFactor: 2,
} as const;
