/** HTTP with callers and operators: limits on sizes and times. */
export const httpConstants = {
  /** ms; an order without a version waits so long for the notice that its caller has disconnected. */
  disconnectCheckMs: 5,
  /** bytes; body of a caller's or operator's request, except a configuration. */
  bodyLimitBytes: 1_048_576,
  /** bytes of a body over its limit that are still read, so that its sender sees the refusal. */
  bodyDrainBytes: 1_048_576,
  /** bytes; headers of a request, where the configuration sets no limit. */
  headerLimitBytes: 16_384,
  /** bytes; the parser gives up here, whatever the configuration sets. */
  headerLimitMaxBytes: 1_048_576,
  /** ms; the headers of a request must be complete by then, where the configuration sets no limit. */
  headerTimeoutMs: 10_000,
  /** ms; a caller's connection may be idle for so long, where the configuration sets no limit. */
  callerIdleTimeoutMs: 30_000,
  /** ms; it is closed so much later than announced, so that no request is on its way then. */
  idleCloseMarginMs: 1000,
  /** ms; period of the check for slow headers. */
  headerCheckPeriodMs: 500,
  /** ms; a connection whose framing was wrong stays open so long, so that its caller sees why. */
  framingErrorLingerMs: 300,
  /** bytes; a configuration: thousands of routes. */
  configurationLimitBytes: 8_388_608,
  /** bytes; an endpoint whose response is longer has failed. */
  responseLimitBytes: 4_194_304,
} as const;
