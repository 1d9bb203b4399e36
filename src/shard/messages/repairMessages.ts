/** Messages of anti-entropy repair between the replicas of a shard. */
import { isNonNegativeInteger, isJsonObject, isShardIndex, isString } from "../../rpc/bodyChecks";
import type { BatchJob } from "../state/batchJob";
import type { LiveRequest } from "../state/liveRequest";

/** Requests the digests of a replica's state at a position of the log. */
export interface DigestRequest {
  shard: number;
  seq: number;
}

/** Has no digests if the last entry that the replica applied is at another position. */
export interface DigestResponse {
  /** One digest for each range of ids. */
  digests?: string[];
  /** Digest of the list of segments. */
  segments?: string;
}

/** Sends the leader's objects in the ranges whose digests differ. */
export interface RepairRequest {
  shard: number;
  epoch: number;
  /** Position of the last entry that the leader had applied. */
  seq: number;
  works: LiveRequest[];
  lots: BatchJob[];
}

/** Asks a replica to copy the segments that are missing or damaged there from the leader. */
export interface RepairSegmentsRequest {
  shard: number;
  /** Address of the leader's node. */
  from: string;
}

export interface RepairResponse {
  /** Number of objects repaired; for segments 1 if their list changed, otherwise 0. */
  mended: number;
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** No faults. Read-only. */
    "shard.digest": RpcMethod<DigestRequest, DigestResponse>;
    /** No faults. Idempotent: an equal object is not replaced. */
    "shard.mend": RpcMethod<RepairRequest, RepairResponse>;
    /** Faults: disk, and those of the calls to the leader. Idempotent: intact files are not copied. */
    "shard.mendSegments": RpcMethod<RepairSegmentsRequest, RepairResponse>;
  }
}

export const isDigestRequest = (body: unknown): body is DigestRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isNonNegativeInteger(body.seq);

export const isRepairRequest = (body: unknown): body is RepairRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonNegativeInteger(body.epoch) &&
  isNonNegativeInteger(body.seq) &&
  Array.isArray(body.works) &&
  Array.isArray(body.lots);

export const isRepairSegmentsRequest = (body: unknown): body is RepairSegmentsRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isString(body.from);
