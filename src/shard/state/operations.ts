/** Puts, the operations in them, and their outcomes. */
import type { Stamp } from "../../common/stamp";
import type { BatchJobSpec, ItemOutcome } from "./batchJob";
import type { Cause } from "../../common/ledgerEntry";
import type { LiveRequestSpec } from "./liveRequest";
import type { SegmentKind } from "../segments/segmentTypes";

/**
 * A change of a shard's state. Logged and sent; the field names never change. `round` is the number of an attempt,
 * `replica` the key of an endpoint, `lot` the id of a batch job.
 */
export type ShardOperation =
  | LiveRequestOperation
  | BatchJobOperation
  | {
      op: "note";
      entries: { subject: string; decision: string; cause: Cause }[];
      /** Deduplicates entries: a source sends them in the order of their index, and each index is applied once. */
      once?: { source: string; index: number };
    }
  /** Trims the segments of a kind whose number is less than `below`. */
  | { op: "trim"; kind: SegmentKind; below: number; detail: string };

/** A change of one live request. */
export type LiveRequestOperation =
  | { op: "open"; work: LiveRequestSpec }
  | { op: "claim"; id: string; round: number; replica: string; owner: string }
  | { op: "release"; id: string; round: number; why: string }
  | { op: "pieces"; id: string; round: number; first: number; data: string[] }
  | { op: "close"; id: string; round: number; state: "done" | "failed" | "unknown" | "refused"; outcome: string };

/** A change of one batch job or of its items. */
export type BatchJobOperation =
  /** `life` is the stamp of the job's arrival, as text. An id may arrive again after its job was rejected. */
  | { op: "lot"; lot: BatchJobSpec; life?: string }
  /** Submissions of the job that arrived up to this put will not be accepted. */
  | { op: "lotRefuse"; lot: string }
  /** Results of items that were run without a claim. Only the first result of each item is kept. */
  | { op: "itemResults"; lot: string; results: ItemOutcome[] }
  | { op: "itemClaim"; lot: string; item: number; round: number; replica: string; owner: string }
  | { op: "itemRelease"; lot: string; item: number; round: number; why: string }
  | { op: "itemResult"; lot: string; item: number; round: number; state: "done" | "failed" | "unknown"; result: string }
  | { op: "lotEnd"; lot: string; by: string };

/** The operation with a given tag. */
export type OperationOf<Tag extends ShardOperation["op"]> = Extract<ShardOperation, { op: Tag }>;

/** Operations that are written together under one stamp. They are applied in order until one isn't "done". */
export interface Put {
  /** Idempotency key: a put with the same id is applied once. */
  putId: string;
  stamp: Stamp;
  ops: ShardOperation[];
  /** Default cause of the ledger entries that the operations add. */
  cause: Cause;
}

/** The outcome of a put: that of its last operation, or of the first that isn't "done". */
export type PutOutcome =
  | { tag: "done" }
  /** The object exists already; `same` tells whether its body equals that of the operation. */
  | { tag: "exists"; same: boolean; state: string }
  | { tag: "no"; why: string };
