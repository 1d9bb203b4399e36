/** Messages by which the log of a shard is replicated. */
import type { ShardView } from "../../controlState/shardView";
import {
  isCount,
  isInteger,
  isListOf,
  isNumber,
  isObject,
  isOptional,
  isShardIndex,
  isText,
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
  isObject(value) &&
  isCount(value.seq) &&
  isCount(value.epoch) &&
  isNumber(value.frontier) &&
  Array.isArray(value.puts);

/** Whether a value is the view of a shard. */
export const isShardView = (value: unknown): value is ShardView =>
  isObject(value) &&
  isShardIndex(value.shard) &&
  isCount(value.epoch) &&
  isListOf(value.members, isText) &&
  isText(value.lead);

export const isReplicateRequest = (body: unknown): body is ReplicateRequest =>
  isObject(body) &&
  isShardIndex(body.shard) &&
  isCount(body.epoch) &&
  isShardView(body.view) &&
  isCount(body.prevSeq) &&
  isInteger(body.prevEpoch) &&
  isListOf(body.entries, isLogEntry) &&
  isNumber(body.frontier) &&
  isCount(body.stable);

export const isCatchUpRequest = (body: unknown): body is CatchUpRequest =>
  isObject(body) &&
  isShardIndex(body.shard) &&
  isCount(body.epoch) &&
  isCount(body.prevSeq) &&
  isOptional(body.prevEpoch, isInteger) &&
  isListOf(body.entries, isLogEntry);
