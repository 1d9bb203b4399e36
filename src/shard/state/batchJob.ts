/** Batch jobs and their items. On the wire and on disk a batch job is a "lot". */
import type { Stamp } from "../../common/stamp";
import type { Route } from "../../controlState/configuration";

/** "unknown" means that an attempt may have run; "ended" that the job ended before the item ran. */
export type BatchItemState = "waiting" | "claimed" | "done" | "failed" | "unknown" | "ended" | "abandoned";

/** One item of a batch job. Stored; the field names never change. */
export interface BatchItem {
  state: BatchItemState;
  /** Number of the last attempt that claimed it; 0 before the first. */
  round: number;
  /** Key of the endpoint that the last attempt was for. */
  replica: string;
  /** Member that runs the last attempt. */
  owner: string;
  /** Stamp of the put that brought the result; null before. */
  stamp: Stamp | null;
  result: string;
}

/**
 * An item that is a complete HTTP request, forwarded to an endpoint as it is; its body is among the job's bodies, in
 * base64. Stored; the field names never change.
 */
export interface ItemRequest {
  id: string;
  /** Path and query. */
  target: string;
  headers: Record<string, string>;
  /** Estimated tokens, counted against the quota. */
  tokens: number;
}

/** The result of an item that was run without a claim. */
export interface ItemOutcome {
  /** Index of the item in its job. */
  item: number;
  state: "done" | "abandoned";
  result: string;
}

/** A batch job as it is submitted. Stored and sent; the field names never change. */
export interface BatchJobSpec {
  id: string;
  /** Name of the route that it came by. */
  binding: string;
  /** Digest of the submission, hexadecimal: tells a repeated submission from another one under the same id. */
  bodyHash: string;
  /** Bodies of the items, by index. */
  bodies: string[];
  /** Its items are idempotent: they may be attempted again after an attempt that may have run. */
  safe: boolean;
  /** Priority; the lower goes first. */
  order: number;
  /** The route as it was when the job was accepted. */
  kept: Route;
  /** Present where the items are complete HTTP requests: idempotent, and run without claims. */
  requests?: ItemRequest[];
  /** Version of the configuration that a job with `requests` was accepted under. */
  since?: number;
}

/** One batch job as its shard stores it. The field names never change. */
export interface BatchJob extends BatchJobSpec {
  stamp: Stamp;
  items: BatchItem[];
  /** Items that have no result yet and may still get one. */
  open: number;
  /** Ended by its client before all items had run. */
  ended: boolean;
  endedBy: string;
  /** Indexes of the items with a result, in the order of the stable prefix. */
  positions: number[];
  /** Operations that changed it; anti-entropy repair takes the greater as the newer. */
  version: number;
  closedAt: Stamp | null;
  /** Tokens of the items without a result; only where the job has `requests`. */
  tokensWaiting?: number;
}
