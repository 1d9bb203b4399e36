/** Requests to the control leader. */
export const controlClientConstants = {
  /**
   * ms; a drain, undrain or retirement may be retried for so long after its first attempt: ack_timeout_ms and one
   * response.
   */
  orderRetryWindowMs: 5000,
  /** ms; a reading of the leader's clock is used for so long: clocks drift by less than 10 ms in it. */
  leaderClockMaxAgeMs: 60_000,
  /** ms; time-out of one request to one control node. */
  controlRequestTimeoutMs: 2200,
  /** ms; pause before another control node is called. */
  controlRetryMs: 120,
  /** ms; for so long an operator's change is retried through a change of leader. */
  changeRetryWindowMs: 6000,
} as const;
