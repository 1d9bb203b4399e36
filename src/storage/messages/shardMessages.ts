/** Bodies of the RPC methods that write to a shard, read its ledger or report its status, and their validation. */
import { Stamp } from "../../common/stamp";
import type { ShardReplicaStatus } from "../../shard/shardReplica";
import type { LedgerEntry, Put, PutOutcome } from "../../shard/shardTypes";
import {
  isNonNegativeInteger,
  isArrayOf,
  isNonEmptyString,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isStamp,
  isString,
} from "../../rpc/bodyChecks";

/** Base of requests to one shard. */
export interface ShardRequest {
  shard: number;
}

/** Appends operations to the log of a shard. */
export interface PutRequest extends ShardRequest {
  put: Put;
}

/** Reads a page of a shard's ledger in the order of its stamps. */
export interface LedgerReadRequest extends ShardRequest {
  /** Text of the stamp after which the page starts. With any other text it starts at the beginning. */
  after: string;
  /** Maximum number of entries in the response. It may be exceeded to keep the entries of one put together. */
  limit: number;
}

export interface LedgerReadResponse {
  /** End of the replica's stable prefix: wall time, ms. */
  frontier: number;
  entries: LedgerEntry[];
  /** Stamp of the oldest entry that retention has not removed; null if there is none. */
  oldest: Stamp | null;
}

/** Reads all entries about some subjects. */
export interface LedgerAboutRequest extends ShardRequest {
  subjects: string[];
  /** Id of a change whose entries are read too; empty for none. */
  change: string;
}

export interface LedgerAboutResponse {
  entries: LedgerEntry[];
  /** End of the replica's stable prefix: wall time, ms. */
  frontier: number;
}

/** Reads the oldest version of a subject that is not older than a time. */
export interface TemporalGetRequest extends ShardRequest {
  subject: string;
  /** Wall time, ms. */
  time: number;
  /** How long to wait for a stable version, ms. */
  waitMs: number;
}

export interface TemporalGetResponse {
  version: LedgerEntry;
  /** End of the replica's stable prefix: wall time, ms. */
  frontier: number;
}

/** Status that a storage node reports to the leader of the control group. */
export interface StoreStatusResponse {
  shards: ShardReplicaStatus[];
  stopping: boolean;
  /** Whether the node's clock and configuration are reliable, so that it may hold leases. */
  vouches: boolean;
}

/** Status of a storage node for operators: its replicas, and the jobs of the shards that it leads. */
export interface StoreShardsResponse {
  shards: ShardReplicaStatus[];
  lots: { id: string; shard: number; items: number; open: number; ended: boolean; results: number }[];
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notLead, late, busy, unknown. Idempotent by put id. */
    "shard.put": RpcMethod<PutRequest, PutOutcome>;
    /** Faults: notLead, disk. Read-only. */
    "ledger.read": RpcMethod<LedgerReadRequest, LedgerReadResponse>;
    /** Faults: notLead, disk. Read-only. */
    "ledger.about": RpcMethod<LedgerAboutRequest, LedgerAboutResponse>;
    /** Faults: notLead, disk, busy (nothing stable yet). Read-only. */
    "temporal.get": RpcMethod<TemporalGetRequest, TemporalGetResponse>;
    /** No faults. Read-only. */
    "store.status": RpcMethod<Record<string, never>, StoreStatusResponse>;
    /** No faults. Read-only. */
    "store.shards": RpcMethod<Record<string, never>, StoreShardsResponse>;
  }
}

const isPut = (value: unknown): value is Put =>
  isJsonObject(value) &&
  isNonEmptyString(value.putId) &&
  isStamp(value.stamp) &&
  isJsonObject(value.cause) &&
  Array.isArray(value.ops) &&
  value.ops.every((operation) => isJsonObject(operation) && isNonEmptyString(operation.op));

export const isPutRequest = (body: unknown): body is PutRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isPut(body.put);

export const isLedgerReadRequest = (body: unknown): body is LedgerReadRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isString(body.after) && isNonNegativeInteger(body.limit);

export const isLedgerAboutRequest = (body: unknown): body is LedgerAboutRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isArrayOf(body.subjects, isString) && isString(body.change);

export const isTemporalGetRequest = (body: unknown): body is TemporalGetRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isString(body.subject) &&
  isFiniteNumber(body.time) &&
  isFiniteNumber(body.waitMs);

/** Accepts any body; for methods whose request has no content. */
export const isAnyRequest = (_body: unknown): _body is Record<string, never> => true;
