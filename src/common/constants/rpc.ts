/** Connections and messages between members. */
export const rpcConstants = {
  /** bytes; a longer body between processes is deflated: links between zones cost more than the work. */
  deflateMinBytes: 1024,
  /** bytes; a longer body is not searched for repeats. */
  deflateSearchMaxBytes: 16_384,
  /** Share of its length that a deflated body must stay below. */
  deflateMaxRatio: 0.9,
  /** bytes; one message between processes. */
  messageMaxBytes: 33_554_432,
  /** ms; a call that waits for its response checks so often whether it has become pointless, as by a new leader. */
  callAbortCheckPeriodMs: 60,
  /** ms; time-out of a connection between members: a new attempt is faster than a late retransmission. */
  memberConnectTimeoutMs: 200,
} as const;
