/** Connections and messages between members. */
export const rpcConstants = {
  /** Minimum length of a body that is deflated, bytes. Links between zones cost more than the compression. */
  deflateMinBytes: 1024,
  /** Maximum length of a body that is searched for repeated strings, bytes. */
  deflateSearchMaxBytes: 16_384,
  /** Maximum length of a deflated body relative to the original length; otherwise the original is sent. */
  deflateMaxRatio: 0.9,
  /** Maximum length of a message between processes, bytes. */
  messageMaxBytes: 33_554_432,
  /** Period in which a waiting call checks whether it has become pointless, for example because of a new leader, ms. */
  callAbortCheckPeriodMs: 60,
  /** Time-out of a connection between members, ms. A new attempt is faster than a late retransmission. */
  memberConnectTimeoutMs: 200,
} as const;
