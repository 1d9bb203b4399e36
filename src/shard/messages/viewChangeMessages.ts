/**
 * Messages that the control group, which decides on views, sends to shard replicas, and the status that these report.
 */
import type { ShardView } from "../../controlState/shardView";
import {
  isNonNegativeInteger,
  isArrayOf,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";
import { isShardView } from "./replicationMessages";

/**
 * "lead": serves as the leader. "starting": leads the view but still waits for leases. "out": is not a member of the
 * view, or its disk failed.
 */
export type ShardReplicaRole = "member" | "starting" | "lead" | "out";

/** Status that a replica reports to the control group. Sent; the field names never change. */
export interface ShardReplicaStatus {
  shard: number;
  /** Epoch of the last view that the replica knows; 0 for none. */
  epoch: number;
  view: ShardView | null;
  /** Epochs below this one are sealed on this replica: it rejects their entries. */
  sealed: number;
  role: ShardReplicaRole;
  /** Position of the last entry of the log. */
  seq: number;
  /** Epoch of that entry. */
  lastEpoch: number;
  /** Members that have failed to sync for too long; only the leader reports them. */
  failing: string[];
  /** Time since the last message of the leader, ms. */
  leadSilentMs: number;
  /** Why the replica requests a view change; empty if it doesn't. */
  wantsView: string;
  /** Whether the replica's disk failed. */
  broken: boolean;
  /** End of the stable prefix: wall-clock time, ms. */
  frontier: number;
  /** Number of batch jobs, including sealed ones. */
  lots: number;
  /** Number of live requests, including sealed ones. */
  works: number;
}

/** Seals a replica's log for a new epoch. The replica then rejects entries of older epochs. */
export interface SealRequest {
  shard: number;
  /** Epoch of the next view. */
  epoch: number;
}

/** "stopped": the disk failed; the replica's log can't be used, but the replica no longer leads. */
export type SealResponse =
  | { tag: "stopped" }
  | {
      tag: "sealed";
      /** Position and epoch of the last entry. */
      seq: number;
      lastEpoch: number;
      /** Position of the first entry that is still in memory and can be sent to other members. */
      tailFrom: number;
      /** Remaining time of the lease that this replica granted to the former leader, ms. */
      grantLeftMs: number;
    };

/** Asks the replica with the longest sealed log to send its entries to the other members of the next view. */
export interface LogSyncRequest {
  shard: number;
  /** Epoch of the next view. */
  epoch: number;
  targets: { id: string; address: string }[];
}

export interface LogSyncResponse {
  /** Members whose synced log has the same end, including the replica itself. */
  ids: string[];
}

/** Installs a view. The replica that leads the view starts its leadership. */
export interface InstallRequest {
  shard: number;
  view: ShardView;
  /** Remaining time of the former leader's lease, ms. */
  waitMs: number;
}

/** Asks a replica to copy the shard from another replica. */
export interface StateTransferRequest {
  shard: number;
  /** Address of the other replica's node. */
  from: string;
}

/** "underWay": the transfer of an earlier request is still running. */
export interface StateTransferResponse {
  tag: "ok" | "underWay";
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /**
     * Faults: notFound, conflict (sealed for a later epoch), disk. Idempotent: a repeated request for an epoch gets the
     * same kind of response.
     */
    "shard.seal": RpcMethod<SealRequest, SealResponse>;
    /** Faults: conflict (not sealed for this epoch), disk. Idempotent: known entries are not written again. */
    "shard.level": RpcMethod<LogSyncRequest, LogSyncResponse>;
    /** Faults: conflict (a newer epoch is known), notFound, disk. Idempotent by the view's epoch. */
    "shard.install": RpcMethod<InstallRequest, true>;
    /**
     * Faults: disk, conflict, timeout, and those of the source replica. Idempotent: intact files are not copied again.
     */
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
  isJsonObject(body) && isShardIndex(body.shard) && isShardView(body.view) && isFiniteNumber(body.waitMs);

export const isStateTransferRequest = (body: unknown): body is StateTransferRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isString(body.from);
