/** Messages by which the log of a shard is replicated. */
import type { ShardView } from "../../controlState/shardView";
import {
  isNonNegativeInteger,
  isInteger,
  isArrayOf,
  isFiniteNumber,
  isJsonObject,
  isOptional,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";
import type { ShardLogEntry } from "../replica/shardLog";

/** Appends entries to a member's log. A request without entries renews the lease and carries the frontier. */
export interface ReplicateRequest {
  shard: number;
  epoch: number;
  view: ShardView;
  /** Position and epoch of the entry before the first one. */
  prevSeq: number;
  prevEpoch: number;
  entries: ShardLogEntry[];
  /** The leader's frontier: wall-clock time, ms. */
  frontier: number;
  /** Last position that every member has synced. A member that has applied it may advance to `frontier`. */
  stable: number;
}

/**
 * "ok": all entries are synced, and the lease is renewed. "behind": the member's log ends at another position; −1 means
 * that its log can't be extended and must be replaced by state transfer. "sealed": the member rejects this epoch.
 * "broken": the member's disk failed.
 */
export type ReplicateResponse =
  | { tag: "ok"; seq: number; lowDisk: boolean }
  | { tag: "behind"; seq: number; lastEpoch: number }
  | { tag: "sealed"; epoch: number }
  | { tag: "broken" };

/** Brings a member of the next view to the sealed end of the log, before that view is committed. */
export interface CatchUpRequest {
  shard: number;
  /** Epoch of the next view, for which the log is sealed. */
  epoch: number;
  /** Expected position and epoch of the member's last entry; the epoch is missing if the sender doesn't know it. */
  prevSeq: number;
  prevEpoch?: number;
  entries: ShardLogEntry[];
}

/** Like {@link ReplicateResponse}; "ok" reports the end of the member's log. */
export type CatchUpResponse =
  | { tag: "ok"; seq: number; lastEpoch: number }
  | { tag: "behind"; seq: number; lastEpoch: number }
  | { tag: "sealed"; epoch: number }
  | { tag: "broken" };

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: conflict (two leaders in one epoch). Idempotent: known entries are not appended again. */
    "shard.replicate": RpcMethod<ReplicateRequest, ReplicateResponse>;
    /** No faults. Idempotent: a repeated request gets "behind" with the end of the log. */
    "shard.catchUp": RpcMethod<CatchUpRequest, CatchUpResponse>;
  }
}

const isLogEntry = (value: unknown): value is ShardLogEntry =>
  isJsonObject(value) &&
  isNonNegativeInteger(value.seq) &&
  isNonNegativeInteger(value.epoch) &&
  isFiniteNumber(value.frontier) &&
  Array.isArray(value.puts);

/** Whether a value is the view of a shard. */
export const isShardView = (value: unknown): value is ShardView =>
  isJsonObject(value) &&
  isShardIndex(value.shard) &&
  isNonNegativeInteger(value.epoch) &&
  isArrayOf(value.members, isString) &&
  isString(value.lead);

export const isReplicateRequest = (body: unknown): body is ReplicateRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonNegativeInteger(body.epoch) &&
  isShardView(body.view) &&
  isNonNegativeInteger(body.prevSeq) &&
  isInteger(body.prevEpoch) &&
  isArrayOf(body.entries, isLogEntry) &&
  isFiniteNumber(body.frontier) &&
  isNonNegativeInteger(body.stable);

export const isCatchUpRequest = (body: unknown): body is CatchUpRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonNegativeInteger(body.epoch) &&
  isNonNegativeInteger(body.prevSeq) &&
  isOptional(body.prevEpoch, isInteger) &&
  isArrayOf(body.entries, isLogEntry);
