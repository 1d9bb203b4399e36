/** Messages of anti-entropy repair between the replicas of a shard. */
import { isNonNegativeInteger, isJsonObject, isShardIndex, isString } from "../../rpc/bodyChecks";
import type { BatchJob } from "../state/batchJob";
import type { LiveRequest } from "../state/liveRequest";

/** Asks for the digests of a replica's state at a position of the log. */
export interface DigestRequest {
  shard: number;
  seq: number;
}

/** Without digests where the replica has not applied exactly up to that position. */
export interface DigestResponse {
  /** One by range of ids. */
  digests?: string[];
  /** Of the list of segments. */
  segments?: string;
}

/** Sends the leader's objects of the ranges that differ. */
export interface RepairRequest {
  shard: number;
  epoch: number;
  /** Position up to which the leader had applied the log. */
  seq: number;
  works: LiveRequest[];
  lots: BatchJob[];
}

/** Makes a replica copy the segments that it lacks from the leader. */
export interface RepairSegmentsRequest {
  shard: number;
  /** Address of the leader's node. */
  from: string;
}

export interface RepairResponse {
  /** Objects that differed; of segments 1 or 0. */
  mended: number;
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** No faults. A read. */
    "shard.digest": RpcMethod<DigestRequest, DigestResponse>;
    /** No faults. Idempotent: an object that is the same is left as it is. */
    "shard.mend": RpcMethod<RepairRequest, RepairResponse>;
    /** Faults: disk and those of the leader. Idempotent: files that are intact are not copied. */
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
