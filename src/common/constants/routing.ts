/** Selection of endpoints: slow start, prefix affinity, outlier ejection. */
export const routingConstants = {
  /** Time in which a new endpoint reaches its full share, ms. */
  slowStartMs: 6000,
  /**
   * Request starts per second and unit of capacity at a new endpoint, from all senders together; scaled by its share.
   */
  slowStartPerSecond: 4,
  /** Initial share of a new endpoint. */
  slowStartFloor: 0.15,
  /**
   * Time for which an endpoint counts as warming up after the announced end, ms, because the announcement was delayed
   * in the network.
   */
  warmUpMarginMs: 400,
  /** Minimum time between one sender's requests to an endpoint that is warming up, ms. */
  warmUpIntervalMs: 120,
  /** Time after its start for which a sender does not know how many senders share a budget, ms. */
  senderDiscoveryMs: 3000,
  /** Share of an endpoint's connections that all senders together plan to use. */
  connectionShare: 0.85,
  /** Tokens that an endpoint prefills per ms: an estimate that only decides which prefixes are worth affinity. */
  promptTokensPerMs: 100,
  /** Share of the latency target below which the prefill of a shared prefix is too short for affinity. */
  affinityTargetShare: 0.1,
  /** Maximum number of parts of one prompt that are compared. */
  promptPartsMax: 64,
  /** Multiple of the mean load above which an endpoint gets no requests by prefix affinity. */
  boundedLoadFactor: 1.25,
  /** Number of consecutive failures after which an endpoint is ejected. */
  ejectFailures: 3,
  /** Time for which an endpoint is ejected before it is probed with one request, ms. */
  ejectMs: 3000,
} as const;
