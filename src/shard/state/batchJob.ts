/** Batch jobs and their items. On the wire and on disk a batch job is called a "lot". */
import type { Stamp } from "../../common/stamp";
import type { Route } from "../../controlState/configuration";

/** "unknown": an attempt may have run. "ended": the job was ended before the item ran. */
export type BatchItemState = "waiting" | "claimed" | "done" | "failed" | "unknown" | "ended" | "abandoned";

/** One item of a batch job. Stored; the field names never change. */
export interface BatchItem {
  state: BatchItemState;
  /** Number of the last attempt that claimed it; 0 before the first. */
  round: number;
  /** Key of the endpoint that the last attempt was for. */
  replica: string;
  /** Id of the member that runs the last attempt. */
  owner: string;
  /** Stamp of the put that added the result; null before. */
  stamp: Stamp | null;
  result: string;
}

/**
 * An item that is a complete HTTP request and is forwarded to an endpoint unchanged. Its body is in the job's `bodies`,
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

/** Result of an item that was run without a claim. */
export interface ItemOutcome {
  /** Index of the item in its job. */
  item: number;
  state: "done" | "abandoned";
  result: string;
}

/** A batch job as it was submitted. Stored and sent; the field names never change. */
export interface BatchJobSpec {
  id: string;
  /** Name of the route that the job was submitted to. */
  binding: string;
  /** Digest of the submission, hexadecimal. Tells a repeated submission from a different one under the same id. */
  bodyHash: string;
  /** Bodies of the items, by index. */
  bodies: string[];
  /** Whether the items are idempotent: they may be retried after an attempt that may have run. */
  safe: boolean;
  /** Priority; lower values run first. */
  order: number;
  /** The route's settings at the time the job was accepted. */
  kept: Route;
  /** Present if the items are complete HTTP requests, which are idempotent and run without claims. */
  requests?: ItemRequest[];
  /** Version of the configuration under which a job with `requests` was accepted. */
  since?: number;
}

/** A batch job as its shard stores it. The field names never change. */
export interface BatchJob extends BatchJobSpec {
  stamp: Stamp;
  items: BatchItem[];
  /** Number of items that have no result yet and may still get one. */
  open: number;
  /** Whether the client ended the job before all items had run. */
  ended: boolean;
  endedBy: string;
  /** Indexes of the items with a result, in the order in which their puts entered the stable prefix. */
  positions: number[];
  /** Number of operations that changed the job. Anti-entropy repair treats the greater version as the newer. */
  version: number;
  closedAt: Stamp | null;
  /** Estimated tokens of the items without a result; only if the job has `requests`. */
  tokensWaiting?: number;
}
