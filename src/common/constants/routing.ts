/** Selection of endpoints: slow start, prefix affinity, long prompts, outlier ejection. */
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
  /** Tokens that an endpoint prefills in a ms: an estimate that only separates long from short prompts. */
  promptTokensPerMs: 100,
  /** Share of the latency target; a shared prefix whose prefill is shorter attracts no requests. */
  affinityTargetShare: 0.1,
  /** Parts of one prompt that are compared. */
  promptPartsMax: 64,
  /** Share of the pause that other requests tolerate; a prompt whose prefill takes longer is long. */
  longPromptShare: 0.25,
  /** ms; over which the rate of long prompts decays. */
  longPromptFadeMs: 8000,
  /** Share of its time that an endpoint set aside for long prompts may prefill them. */
  longPromptBusyShare: 0.1,
  /** Endpoints; smaller pools are not divided. */
  longPromptEndpointsMin: 4,
  /** Factor; prefix affinity yields above this multiple of the mean load. */
  boundedLoad: 1.25,
  /** Failures in a row until an endpoint is ejected. */
  ejectFailures: 3,
  /** ms; it is ejected for so long, then probed with one request. */
  ejectMs: 3000,
} as const;
