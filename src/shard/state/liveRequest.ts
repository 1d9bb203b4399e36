/** Live requests: streams, and single requests that may not be repeated. */
import type { Stamp } from "../../common/stamp";

/** One chunk of a response stream. Stored; the field names never change. */
export interface StreamChunk {
  /** Position in the stream, from 1. */
  n: number;
  /** Stamp of the put that added it. */
  stamp: Stamp;
  data: string;
}

/** "unknown" means that an attempt may have run; "refused" that none will. */
export type LiveRequestState = "accepted" | "claimed" | "done" | "failed" | "unknown" | "refused";

/** What a live request is opened with. Stored and sent; the field names never change. */
export interface LiveRequestSpec {
  id: string;
  /** Name of the route that it came by. */
  binding: string;
  /** Digest of the body, hexadecimal: tells a repeated request from another one under the same id. */
  bodyHash: string;
  body: string;
  /** The id is an idempotency key given by the caller. */
  keyed: boolean;
  /** Idempotent: may be attempted again after an attempt that may have run. */
  safe: boolean;
  /** A stream that another endpoint can continue exactly where it broke off. */
  exact: boolean;
  /** End of the deadline, ms of wall time. */
  deadlineAt: number;
  /** Priority; the lower goes first. */
  order: number;
  /** Stamp of the arrival, as text; a key may arrive again after its request was refused. */
  life: string;
}

/** One live request as its shard stores it. The field names never change. */
export interface LiveRequest extends LiveRequestSpec {
  stamp: Stamp;
  state: LiveRequestState;
  /** Number of the last attempt that claimed it; 0 before the first. */
  round: number;
  /** Key of the endpoint that the last attempt was for. */
  replica: string;
  /** Member that runs the last attempt. */
  owner: string;
  /** Chunks of the response stream so far, in order. */
  pieces: StreamChunk[];
  outcome: string;
  /** Operations that changed it; anti-entropy repair takes the greater as the newer. */
  version: number;
  closedAt: Stamp | null;
}

const CLOSED_STATES: readonly LiveRequestState[] = ["done", "failed", "unknown", "refused"];

/** Whether a request has ended. @example isClosed(request) */
export const isClosed = (request: LiveRequest): boolean => CLOSED_STATES.includes(request.state);
