/** Requests to the control leader. */
export const controlClientConstants = {
  /**
   * Time after its first attempt in which a drain, undrain or retirement may be retried, ms: ack_timeout_ms and one
   * response.
   */
  orderRetryWindowMs: 5000,
  /** Maximum age of a reading of the leader's clock, ms. Clocks drift by less than 10 ms in this time. */
  leaderClockMaxAgeMs: 60_000,
  /** Time-out of one request to one control node, ms. */
  controlRequestTimeoutMs: 2200,
  /** Time without a response to a clock reading after which another control node is called, ms. */
  controlSilenceMs: 400,
  /** Time since its last response after which the leader must respond to a clock reading before it is sent a request, ms. */
  leaderContactMaxAgeMs: 1000,
  /** Pause before another control node is called, ms. */
  controlRetryMs: 120,
  /** Time for which an operator's change is retried through a change of leader, ms. */
  changeRetryWindowMs: 6000,
} as const;
