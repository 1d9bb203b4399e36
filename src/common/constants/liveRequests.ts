/** Live requests at an ingress: admission, attempts, time-outs and streams. */
export const liveRequestConstants = {
  /** Maximum deadline of a route, ms; rejections are retained for longer. */
  deadlineMaxMs: 600_000,
  /** Deadline if neither the caller nor the route sets one, ms. */
  defaultDeadlineMs: 10_000,
  /** Number of attempts of a safe lookup, each at another endpoint. */
  lookupAttempts: 3,
  /** Maximum number of requests that wait for capacity at one ingress, for each class. */
  admissionQueueMax: 64,
  /** Time for which a stream that has lost its endpoint after some chunks waits for another one, ms. */
  resumeWaitMs: 5000,
  /** Period in which the first request of the queue checks for changes that come with time alone, ms. */
  admissionCheckPeriodMs: 50,
  /** Maximum wait for capacity, ms. A request that would wait longer is rejected at once. */
  admissionWaitMaxMs: 400,
  /** Minimum retry-after of a busy response, ms. */
  retryAfterMs: 1000,
  /** Time for which a relay of a stream continues through a takeover of its shard, ms. */
  streamTakeoverGraceMs: 15_000,
  /** Maximum number of concurrent requests in one process. */
  requestTableSlots: 4096,
  /**
   * Time-out of the response head of an idempotent request, ms. After it, or after twice the latency target if that is
   * longer, the request is tried at another endpoint.
   */
  responseHeadTimeoutMs: 700,
  /** Time without a chunk after which a resumable stream is resumed at another endpoint, ms. */
  resumableStallMs: 1200,
  /**
   * Time-out of a connection to an endpoint, ms. An endpoint on the same site accepts a connection well within this
   * time.
   */
  endpointConnectTimeoutMs: 350,
  /**
   * Time after which an unused connection to an endpoint is closed, ms, unless half of the time that the endpoint
   * announces is less.
   */
  endpointConnectionIdleMs: 8000,
  /** Share of its latency target that a request may wait for capacity. A later rejection has no value for its caller. */
  admissionWaitShare: 0.22,
  /** Retry-after of a rejection for lack of capacity, ms: about the time of one response. */
  overloadRetryAfterMs: 350,
  /** Retry-after of an ingress without a configuration in force, ms: about the time in which a cluster restarts. */
  unreadyRetryAfterMs: 1100,
  /**
   * Time after SIGTERM for which an ingress still accepts requests, ms. Callers send them until they have noticed that
   * it is unready.
   */
  shutdownListenMs: 3000,
  /**
   * Number of requests that an ingress sends to itself before it becomes ready, so that the code is compiled when
   * callers arrive.
   */
  warmUpRequests: 160,
  /** Time-out of these requests together, ms. */
  warmUpTimeoutMs: 1500,
  /** Time-out of a connection to an endpoint, ms. */
  connectTimeoutMs: 1000,
  /** Time after which an endpoint that has accepted a request and sent nothing counts as unreachable, ms. */
  firstChunkTimeoutMs: 3000,
  /** Time-out of each further chunk, ms. */
  chunkTimeoutMs: 3000,
} as const;
