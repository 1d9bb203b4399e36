import { LiveRequest } from "../../shard/shardTypes";
import { LiveRequestSpec } from "../messages/liveRequestMessages";
import { RoutedRequest } from "../selectionCriteria";

/** The put that closes an attempt is retried for this long, ms. */
export const CLOSE_TIMEOUT_MS = 20_000;

/** A live request while this node executes it. */
export interface ExecutingRequest extends RoutedRequest {
  readonly spec: LiveRequestSpec;
  readonly shard: number;
  /** Number of the claimed attempt, from 1. */
  attempt: number;
  /** When this attempt was claimed: monotonic time, ms. */
  claimedAt: number;
  /** Chunks of the response that are stored on every replica of the shard. */
  readonly chunks: string[];
}

/** Outcome of one attempt. */
export type AttemptOutcome =
  /** The request is closed. */
  | { tag: "closed" }
  /** Another node has taken over the request, so this node must not close it. */
  | { tag: "takenOver" }
  /** The endpoint provably did not run the request. */
  | { tag: "notRun"; why: string }
  /** The endpoint may have run the request, or a part of it. */
  | { tag: "mayHaveRun"; why: string };

/** The request as its ingress submitted it, without its later state. */
export const specOf = (request: LiveRequest): LiveRequestSpec => ({
  id: request.id,
  binding: request.binding,
  bodyHash: request.bodyHash,
  body: request.body,
  keyed: request.keyed,
  safe: request.safe,
  exact: request.exact,
  deadlineAt: request.deadlineAt,
  order: request.order,
  life: request.life,
});

/** Id of the put that closes an attempt. */
export const closePutId = ({ spec, attempt }: ExecutingRequest): string => `close-${spec.id}-${spec.life}-${attempt}`;
