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
  warmUpMarginMs: 400,
  /** ms; the shortest time between one sender's requests to an endpoint that is warming up. */
  warmUpIntervalMs: 120,
  /** ms; after its start a sender does not know for so long how many share a budget. */
  senderDiscoveryMs: 3000,
  /** Share of an endpoint's connections that all senders together plan with. */
  connectionShare: 0.85,
  /** Tokens that an endpoint prefills in a ms: an estimate that only tells prefixes that are worth affinity. */
  promptTokensPerMs: 100,
  /** Share of the latency target; a shared prefix whose prefill is shorter attracts no requests. */
  affinityTargetShare: 0.1,
  /** Parts of one prompt that are compared. */
  promptPartsMax: 64,
  /** Factor; prefix affinity yields above this multiple of the mean load. */
  boundedLoadFactor: 1.25,
  /** Failures in a row until an endpoint is ejected. */
  ejectFailures: 3,
  /** ms; it is ejected for so long, then probed with one request. */
  ejectMs: 3000,
} as const;
