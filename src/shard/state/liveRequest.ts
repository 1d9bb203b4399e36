/** Live requests: streams, and single requests that must not run twice. */
import type { Stamp } from "../../common/stamp";

/** One chunk of a response stream. Stored; the field names never change. */
export interface StreamChunk {
  /** Position in the stream, starting at 1. */
  n: number;
  /** Stamp of the put that added it. */
  stamp: Stamp;
  data: string;
}

/** "unknown": an attempt may have run. "refused": no attempt will run. */
export type LiveRequestState = "accepted" | "claimed" | "done" | "failed" | "unknown" | "refused";

/** A live request as it is opened. Stored and sent; the field names never change. */
export interface LiveRequestSpec {
  id: string;
  /** Name of the route that the request was sent to. */
  binding: string;
  /** Digest of the body, hexadecimal. Tells a repeated request from a different one under the same id. */
  bodyHash: string;
  body: string;
  /** Whether the id is an idempotency key that the caller chose. */
  keyed: boolean;
  /** Whether the request is idempotent: it may be retried after an attempt that may have run. */
  safe: boolean;
  /** Whether another endpoint can continue the stream exactly where it broke off. */
  exact: boolean;
  /** Deadline: wall-clock time, ms. */
  deadlineAt: number;
  /** Priority; lower values run first. */
  order: number;
  /** Stamp of the request's arrival, as text. A key may arrive again after a request with it was rejected. */
  life: string;
}

/** A live request as its shard stores it. The field names never change. */
export interface LiveRequest extends LiveRequestSpec {
  stamp: Stamp;
  state: LiveRequestState;
  /** Number of the last attempt that claimed it; 0 before the first. */
  round: number;
  /** Key of the endpoint that the last attempt was for. */
  replica: string;
  /** Id of the member that runs the last attempt. */
  owner: string;
  /** Chunks of the response stream so far, in order. */
  pieces: StreamChunk[];
  outcome: string;
  /** Number of operations that changed the request. Anti-entropy repair treats the greater version as the newer. */
  version: number;
  closedAt: Stamp | null;
}

const CLOSED_STATES: readonly LiveRequestState[] = ["done", "failed", "unknown", "refused"];

/** Whether a request has its final state. */
export const isClosed = (request: LiveRequest): boolean => CLOSED_STATES.includes(request.state);
