/** HTTP with callers and operators: limits on sizes and times. */
export const httpConstants = {
  /** Time for which an order without a version waits for a notification that its caller has disconnected, ms. */
  disconnectCheckMs: 5,
  /** Maximum size of the body of a caller's or operator's request, except a configuration, bytes. */
  bodyLimitBytes: 1_048_576,
  /** Bytes of a body above its limit that are still read, so that the sender receives the rejection. */
  bodyDrainBytes: 1_048_576,
  /** Maximum size of the headers of a request if the configuration sets no limit, bytes. */
  headerLimitBytes: 16_384,
  /** Size of headers at which the parser fails, whatever the configuration sets, bytes. */
  headerLimitMaxBytes: 1_048_576,
  /** Time-out of the headers of a request if the configuration sets no limit, ms. */
  headerTimeoutMs: 10_000,
  /** Time for which a caller's connection may be idle if the configuration sets no limit, ms. */
  callerIdleTimeoutMs: 30_000,
  /**
   * Delay between the announced and the actual close of an idle connection, ms, so that no request is in transit at the
   * close.
   */
  idleCloseMarginMs: 1000,
  /**
   * Time for which a kept connection of a process that takes no more requests stays open after its last response, ms, so
   * that a request in transit receives its rejection.
   */
  drainLingerMs: 300,
  /** Period of the check for slow headers, ms. */
  headerCheckPeriodMs: 500,
  /** Time for which a connection with a framing error stays open, ms, so that the caller receives the reason. */
  framingErrorLingerMs: 300,
  /** Maximum size of a configuration, bytes: thousands of routes. */
  configurationLimitBytes: 8_388_608,
  /** Size of a response above which its endpoint counts as failed, bytes. */
  responseLimitBytes: 4_194_304,
} as const;
