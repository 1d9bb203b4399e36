/** Puts, the operations that they consist of, and their outcomes. */
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
      /** Deduplicates: the entries of a source come in the order of their index, each at most once. */
      once?: { source: string; index: number };
    }
  /** Removes the segments of a kind with a number below `below`. */
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
  /** `life` is the stamp of the arrival, as text; an id may arrive again after its job was refused. */
  | { op: "lot"; lot: BatchJobSpec; life?: string }
  /** Arrivals up to this put will not be accepted. */
  | { op: "lotRefuse"; lot: string }
  /** Results of items that were run without a claim; the first result of each counts. */
  | { op: "itemResults"; lot: string; results: ItemOutcome[] }
  | { op: "itemClaim"; lot: string; item: number; round: number; replica: string; owner: string }
  | { op: "itemRelease"; lot: string; item: number; round: number; why: string }
  | { op: "itemResult"; lot: string; item: number; round: number; state: "done" | "failed" | "unknown"; result: string }
  | { op: "lotEnd"; lot: string; by: string };

/** The operation with a given tag. */
export type OperationOf<Tag extends ShardOperation["op"]> = Extract<ShardOperation, { op: Tag }>;

/** What is written at once: all of its operations up to the first that is refused, under one stamp. */
export interface Put {
  /** Idempotency key: a put is applied once. */
  putId: string;
  stamp: Stamp;
  ops: ShardOperation[];
  /** Cause of the ledger entries of operations that name none. */
  cause: Cause;
}

/** The outcome of the last operation of a put that was applied or refused. */
export type PutOutcome =
  | { tag: "done" }
  /** The object is there already; `same` if its body is the one of the operation. */
  | { tag: "exists"; same: boolean; state: string }
  | { tag: "no"; why: string };
