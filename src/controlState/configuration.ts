/**
 * The configuration that operators change as one versioned document. Its fields are stored and sent as they are, under
 * names of the operators' interface; where such a name differs from the standard term, the comment gives the term.
 */

/** What a route carries: single requests, streams of events, or items of batch jobs. */
export type RouteKind = "lookup" | "stream" | "item";

/** A share of a route's traffic. */
export interface PoolWeight {
  /** Name of the endpoint pool. */
  pool: string;
  /** Relative to the sum over the split; 0 or more. */
  weight: number;
}

/** How requests of one kind reach endpoints. */
export interface Route {
  kind: RouteKind;
  /** Name of the endpoint pool. */
  pool: string;
  /** Path that is called at the endpoint. */
  path: string;
  /** Whether a request is idempotent, so that it may be retried; where that is not known, false. */
  safe: boolean;
  /** Deadline of a request, ms after its admission. */
  deadlineMs: number;
  /** Streams: whether an endpoint can resume exactly after a given chunk. */
  continues: "exact" | "no";
  /** Leading bytes of a prompt that decide prefix affinity. */
  prefixBytes: number;
  /** Host header of a direct route. With `prefix`: method, path and body are forwarded unchanged. */
  host?: string;
  /** Path prefix of a direct route, the longest match wins; it begins and ends with a slash. */
  prefix?: string;
  /** Weighted pools, in place of `pool`. */
  split?: PoolWeight[];
  /** Latency target (SLO), ms: of a response, and of the first chunk of a stream. */
  targetMs?: number;
  /** Priority at endpoints and in queues; the lower number goes first. */
  order?: number;
  /** Most attempts for one request. */
  rounds?: number;
  /** Longest gap between chunks that still meets the latency target, ms. */
  pieceGapMs?: number;
  /** Whether prompts share prefixes that are worth caching together. */
  affinity?: boolean;
  /** Items: all results of a batch job are due so many ms after its submission. */
  completionMs?: number;
  /** Items: an item may be abandoned so many ms after that. */
  giveUpMs?: number;
  /** Items: most queued tokens over all nodes; 0 or absent: no limit. */
  maxWaitingTokens?: number;
  /** The operator's own form of this route, stored unchanged; only the control group keeps it. */
  origin?: unknown;
}

/** Batching limits of an inference engine. */
export interface EngineLimits {
  /** Requests in a batch. */
  slots: number;
  /** Tokens that the KV cache holds. */
  memoryTokens: number;
}

/** What operators set for a pool of endpoints. */
export interface EndpointPool {
  /** Path of the health check. */
  probePath?: string;
  /** Most connections that one endpoint accepts, from all nodes together. */
  connections?: number;
  /** Duration of slow start, ms. */
  warmMs?: number;
  /** Most requests per second to an endpoint in slow start, from all nodes together; 0 or absent: no limit. */
  warmPerSecond?: number;
  engine?: EngineLimits;
  /** The operator's own form of this pool, stored unchanged; only the control group keeps it. */
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

/** How long results and records are retained, ms; absent: without limit. */
export interface Retention {
  /** Batch jobs. */
  lotsMs?: number;
  /** Live requests. */
  requestsMs?: number;
  ledgerMs?: number;
}

/** The whole document. */
export interface Configuration {
  /** Routes by name. */
  bindings: Record<string, Route>;
  /** Endpoint pools by name; absent: routes may name any pool. */
  pools?: Record<string, EndpointPool>;
  limits?: Limits;
  /** The rest of the operator's own form, stored unchanged; only the control group keeps it. */
  origin?: unknown;
  clock?: ClockBounds;
  retention?: Retention;
}
