/** Live requests at an ingress: admission, attempts, time-outs, streams. */
export const liveRequestConstants = {
  /** ms; a route's deadline, at most: refusals are remembered for longer. */
  deadlineMaxMs: 600_000,
  /** ms; where neither caller nor route sets a deadline. */
  defaultDeadlineMs: 10_000,
  /** Attempts of a safe lookup, each at another endpoint. */
  lookupAttempts: 3,
  /** Requests that wait for capacity at one ingress, for each class. */
  admissionQueueMax: 64,
  /** ms; a stream that lost its endpoint after some chunks waits so long for another. */
  resumeWaitMs: 5000,
  /** ms; period in which the first of the queue is checked for what changes by time alone. */
  admissionCheckPeriodMs: 50,
  /** ms; a request that would wait longer is rejected at once. */
  admissionWaitMaxMs: 400,
  /** ms; the shortest time that a busy response asks its caller to wait. */
  retryAfterMs: 1000,
  /** ms; a relay continues through a takeover of its shard. */
  streamTakeoverGraceMs: 15_000,
  /** Requests at once in one process. */
  requestTableSlots: 4096,
  /**
   * ms; an idempotent request without a response head by then, or by twice its latency target, is tried at another
   * endpoint.
   */
  responseHeadTimeoutMs: 700,
  /** ms; a stream that can be resumed elsewhere is after so long without a chunk. */
  resumableStallMs: 1200,
  /** ms; an endpoint on the same site accepts a connection well within this time. */
  endpointConnectTimeoutMs: 350,
  /** ms; an unused connection to an endpoint is closed after this time, or half of what the endpoint announces. */
  endpointConnectionIdleMs: 8000,
  /** Share of its latency target that a request may wait for capacity: a later rejection is worth nothing more. */
  admissionWaitShare: 0.22,
  /** ms; retry-after of a rejection for lack of capacity: about the time of one response. */
  overloadRetryAfterMs: 350,
  /** ms; retry-after of an ingress without a configuration in force: about the time in which a cluster restarts. */
  unreadyRetryAfterMs: 1100,
  /** ms; after SIGTERM callers still send requests here until they have noticed that it is unready. */
  shutdownListenMs: 3000,
  /** Requests that an ingress sends to itself before it becomes ready, so that callers meet compiled code. */
  warmUpRequests: 160,
  /** ms; time for that, at most. */
  warmUpTimeoutMs: 1500,
  /** ms; an endpoint that does not accept a connection by then. */
  connectTimeoutMs: 1000,
  /** ms; an endpoint that accepts a request and sends nothing by then counts as unreachable. */
  firstChunkTimeoutMs: 3000,
  /** ms; the same between chunks. */
  chunkTimeoutMs: 3000,
} as const;
