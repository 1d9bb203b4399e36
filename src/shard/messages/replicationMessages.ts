/** Messages by which the leader of a shard replicates its log. */
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

/** Appends entries to a member's log; without entries it renews the lease and carries the frontier. */
export interface ReplicateRequest {
  shard: number;
  epoch: number;
  view: ShardView;
  /** Position and epoch of the entry before the first one. */
  prevSeq: number;
  prevEpoch: number;
  entries: ShardLogEntry[];
  /** The frontier: wall time, ms. */
  frontier: number;
  /** Position up to which every member has the log; the frontier counts for whoever has applied it. */
  stable: number;
}

/**
 * "ok": everything is synced, and the lease is granted anew. "behind": the log ends elsewhere; at −1 where it can't be
 * extended and has to be copied. "sealed": the epoch is over. "broken": the member's disk failed.
 */
export type ReplicateResponse =
  | { tag: "ok"; seq: number; lowDisk: boolean }
  | { tag: "behind"; seq: number; lastEpoch: number }
  | { tag: "sealed"; epoch: number }
  | { tag: "broken" };

/** Brings a member of the next view to the sealed end of the log, before that view is committed. */
export interface CatchUpRequest {
  shard: number;
  /** The epoch of the next view, for which the log is sealed. */
  epoch: number;
  /** Position and epoch of the last entry that the member is expected to have; no epoch if it is unknown. */
  prevSeq: number;
  prevEpoch?: number;
  entries: ShardLogEntry[];
}

/** As {@link ReplicateResponse}; "ok" with the end of the member's log. */
export type CatchUpResponse =
  | { tag: "ok"; seq: number; lastEpoch: number }
  | { tag: "behind"; seq: number; lastEpoch: number }
  | { tag: "sealed"; epoch: number }
  | { tag: "broken" };

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: conflict (two leaders in one epoch). Idempotent: entries that are there are not appended again. */
    "shard.replicate": RpcMethod<ReplicateRequest, ReplicateResponse>;
    /** No faults. Idempotent: a repeat gets "behind" with the end of the log. */
    "shard.catchUp": RpcMethod<CatchUpRequest, CatchUpResponse>;
  }
}

const isLogEntry = (value: unknown): value is ShardLogEntry =>
  isJsonObject(value) &&
  isNonNegativeInteger(value.seq) &&
  isNonNegativeInteger(value.epoch) &&
  isFiniteNumber(value.frontier) &&
  Array.isArray(value.puts);

/** Whether a value is a shard's view. */
export const isView = (value: unknown): value is ShardView =>
  isJsonObject(value) &&
  isShardIndex(value.shard) &&
  isNonNegativeInteger(value.epoch) &&
  isArrayOf(value.members, isString) &&
  isString(value.lead);

export const isReplicateRequest = (body: unknown): body is ReplicateRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonNegativeInteger(body.epoch) &&
  isView(body.view) &&
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
