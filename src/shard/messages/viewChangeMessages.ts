/** Messages that control, which decides on views, sends to the replicas of shards, and what these report. */
import type { ShardView } from "../../controlState/shardView";
import {
  isNonNegativeInteger,
  isArrayOf,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";
import { isView } from "./replicationMessages";

/** "lead": serves as leader; "starting": leader of its view, waits for leases; "out": not in the view, or disk failed. */
export type ShardReplicaRole = "member" | "starting" | "lead" | "out";

/** What a replica reports to control. Sent; the field names never change. */
export interface ShardReplicaStatus {
  shard: number;
  /** Epoch of the last view it knows; 0 for none. */
  epoch: number;
  view: ShardView | null;
  /** Epochs below this one are sealed here: entries of theirs are refused. */
  sealed: number;
  role: ShardReplicaRole;
  /** Position of the last entry of its log. */
  seq: number;
  /** Epoch of that entry. */
  lastEpoch: number;
  /** Members that have not synced for too long; only at the leader. */
  failing: string[];
  /** Since the leader was last heard, ms. */
  leadSilentMs: number;
  /** Why it wants a view change; empty if it doesn't. */
  wantsView: string;
  /** Its disk failed. */
  broken: boolean;
  /** End of its stable prefix: wall time, ms. */
  frontier: number;
  /** Batch jobs, sealed ones included. */
  lots: number;
  /** Live requests, sealed ones included. */
  works: number;
}

/** Seals a replica's log for a new epoch: entries of older epochs are refused from then on. */
export interface SealRequest {
  shard: number;
  /** The epoch of the next view. */
  epoch: number;
}

/** "stopped": the disk failed; the replica's log doesn't count, but it leads no longer. */
export type SealResponse =
  | { tag: "stopped" }
  | {
      tag: "sealed";
      /** Position and epoch of the last entry. */
      seq: number;
      lastEpoch: number;
      /** Position of the first entry that is still in memory, for others to catch up by. */
      tailFrom: number;
      /** Until the lease that it granted to the former leader has ended, ms. */
      grantLeftMs: number;
    };

/** Brings other members of the next view to the end of the longest sealed log. */
export interface LogSyncRequest {
  shard: number;
  /** The epoch of the next view. */
  epoch: number;
  targets: { id: string; address: string }[];
}

export interface LogSyncResponse {
  /** Members whose log ends there and is synced, the replica itself included. */
  ids: string[];
}

/** Installs a view; its leader starts. */
export interface InstallRequest {
  shard: number;
  view: ShardView;
  /** Until the former leader's lease has ended, ms. */
  waitMs: number;
}

/** Makes a replica copy the shard from another one. */
export interface StateTransferRequest {
  shard: number;
  /** Address of the other replica's node. */
  from: string;
}

/** "underWay": an earlier request is still being carried out. */
export interface StateTransferResponse {
  tag: "ok" | "underWay";
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notFound, conflict (sealed for a later epoch), disk. Idempotent: a repeat for the same epoch responds alike. */
    "shard.seal": RpcMethod<SealRequest, SealResponse>;
    /** Faults: conflict (not sealed for this epoch), disk. Idempotent: entries that are there are not written again. */
    "shard.level": RpcMethod<LogSyncRequest, LogSyncResponse>;
    /** Faults: conflict (a newer epoch is known), notFound, disk. Idempotent by the view's epoch. */
    "shard.install": RpcMethod<InstallRequest, true>;
    /** Faults: disk, conflict, timeout and those of the source. Idempotent: files that are there are not copied again. */
    "shard.fill": RpcMethod<StateTransferRequest, StateTransferResponse>;
  }
}

const isTarget = (value: unknown): value is LogSyncRequest["targets"][number] =>
  isJsonObject(value) && isString(value.id) && isString(value.address);

export const isSealRequest = (body: unknown): body is SealRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isNonNegativeInteger(body.epoch);

export const isLogSyncRequest = (body: unknown): body is LogSyncRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonNegativeInteger(body.epoch) &&
  isArrayOf(body.targets, isTarget);

export const isInstallRequest = (body: unknown): body is InstallRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isView(body.view) && isFiniteNumber(body.waitMs);

export const isStateTransferRequest = (body: unknown): body is StateTransferRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isString(body.from);
