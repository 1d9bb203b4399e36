import { LiveRequest } from "../../shard/shardTypes";
import { LiveRequestSpec } from "../messages/liveRequestMessages";
import { RoutedRequest } from "../selectionCriteria";

/** For how long the put that closes an attempt is repeated, ms. */
export const CLOSE_TIMEOUT_MS = 20_000;

/** A live request while this node executes it. */
export interface ExecutingRequest extends RoutedRequest {
  readonly spec: LiveRequestSpec;
  readonly shard: number;
  /** Number of the attempt that has the claim, from 1. */
  attempt: number;
  /** When that attempt was claimed: monotonic time, ms. */
  claimedAt: number;
  /** Chunks of the response that are stored on every replica of the shard. */
  readonly chunks: string[];
}

/** How an attempt ended. */
export type AttemptOutcome =
  /** The request is closed. */
  | { tag: "closed" }
  /** Another node has taken the request over: it is no longer this node's to close. */
  | { tag: "takenOver" }
  /** The endpoint provably did not run it. */
  | { tag: "notRun"; why: string }
  /** The endpoint may have run it, or a part of it. */
  | { tag: "mayHaveRun"; why: string };

/** The request as its ingress submitted it, without what has happened to it since. */
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
