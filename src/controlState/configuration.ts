/**
 * The configuration that operators change as one versioned document. Its field names are stored, sent, and part of the
 * operator interface; where such a name differs from the standard term, the comment gives the term.
 */

/** Kind of requests that a route carries: single requests, streams of events, or items of batch jobs. */
export type RouteKind = "lookup" | "stream" | "item";

/** A share of a route's traffic. */
export interface PoolWeight {
  /** Name of the endpoint pool. */
  pool: string;
  /** Weight relative to the sum over the split; 0 or more. */
  weight: number;
}

/** Defines how requests of one kind are forwarded to endpoints. */
export interface Route {
  kind: RouteKind;
  /** Name of the endpoint pool. */
  pool: string;
  /** Request path at the endpoint. */
  path: string;
  /** Whether a request is idempotent, so that it may be retried; false if that is unknown. */
  safe: boolean;
  /** Deadline of a request, ms after its admission. */
  deadlineMs: number;
  /** Streams: whether an endpoint can resume exactly after a given chunk. */
  continues: "exact" | "no";
  /** Number of leading bytes of a prompt that determine prefix affinity. */
  prefixBytes: number;
  /** Host header of a direct route, which forwards method, path and body unchanged. Requires `prefix`. */
  host?: string;
  /** Path prefix of a direct route. It begins and ends with a slash; the longest match wins. */
  prefix?: string;
  /** Weighted pools, in place of `pool`. */
  split?: PoolWeight[];
  /** Latency target (SLO), ms: of a response, and of the first chunk of a stream. */
  targetMs?: number;
  /** Priority at endpoints and in queues; the lower number goes first. */
  order?: number;
  /** Maximum number of attempts for one request. */
  rounds?: number;
  /** Longest gap between chunks that still meets the latency target, ms. */
  pieceGapMs?: number;
  /** Whether prompts share prefixes that are worth caching together. */
  affinity?: boolean;
  /** Items: time after the submission of a batch job at which all its results are due, ms. */
  completionMs?: number;
  /** Items: time after `completionMs` at which an item may be abandoned, ms. */
  giveUpMs?: number;
  /** Items: maximum number of queued tokens over all nodes; 0 or absent: no limit. */
  maxWaitingTokens?: number;
  /** The operator's original form of this route, stored unchanged and only by the control group. */
  origin?: unknown;
}

/** Batching limits of an inference engine. */
export interface EngineLimits {
  /** Maximum number of requests in a batch. */
  slots: number;
  /** Capacity of the KV cache, tokens. */
  memoryTokens: number;
}

/** Settings of a pool of endpoints. */
export interface EndpointPool {
  /** Path of the health check. */
  probePath?: string;
  /** Maximum number of connections that one endpoint accepts from all nodes together. */
  connections?: number;
  /** Duration of slow start, ms. */
  warmMs?: number;
  /** Maximum rate of requests per second from all nodes to an endpoint in slow start; 0 or absent: no limit. */
  warmPerSecond?: number;
  engine?: EngineLimits;
  /** The operator's original form of this pool, stored unchanged and only by the control group. */
  origin?: unknown;
}

/** Limits on callers' requests. */
export interface Limits {
  headerBytes?: number;
  bodyBytes?: number;
  /** Time to receive the headers, ms. */
  headerMs?: number;
  /** Idle time of a connection, ms. */
  idleMs?: number;
}

/** Bounds of Birman et al. 2026, section 2.9: clock skew δ, relay time ε and put completion Δ, ms. */
export interface ClockBounds {
  deltaMs: number;
  epsilonMs: number;
  bigDeltaMs: number;
}

/** Retention times of results and records, ms; absent: without limit. */
export interface Retention {
  /** Batch jobs. */
  lotsMs?: number;
  /** Live requests. */
  requestsMs?: number;
  ledgerMs?: number;
}

/** The whole configuration document. */
export interface Configuration {
  /** Routes by name. */
  bindings: Record<string, Route>;
  /** Endpoint pools by name; absent: routes may name any pool. */
  pools?: Record<string, EndpointPool>;
  limits?: Limits;
  /** The rest of the operator's original form, stored unchanged and only by the control group. */
  origin?: unknown;
  clock?: ClockBounds;
  retention?: Retention;
}
