/** Messages by which a replica copies a shard from another one. */
import {
  isNonNegativeInteger,
  isInteger,
  isJsonObject,
  isOptional,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";
import type { ReplicaSnapshot } from "../replica/replicaSnapshot";
import { SEGMENT_KINDS, SegmentChecksum, SegmentCounts, SegmentKind, SegmentPart } from "../segments/segmentTypes";

/** Asks whether a log that ends at a position can be extended by entries that the other replica has in memory. */
export interface CanExtendRequest {
  shard: number;
  /** Position and epoch of the last entry; none for an empty log. */
  seq?: number;
  lastEpoch?: number;
}

export interface CanExtendResponse {
  goesOn: boolean;
}

/** Lists the segments of a replica. */
export interface SegmentsRequest {
  shard: number;
}

export interface SegmentsResponse {
  counts: SegmentCounts;
  trimmed: SegmentCounts;
  segments: SegmentChecksum[];
}

/** Reads a chunk of a segment's file. */
export interface SegmentChunkRequest {
  shard: number;
  kind: SegmentKind;
  number: number;
  part: SegmentPart;
  /** Offset in the file, bytes. */
  from: number;
}

export interface SegmentChunkResponse {
  /** In base64. */
  data: string;
  /** Size of the file, bytes. */
  size: number;
}

/** Reads the leader's state without its segments. */
export interface OpenStateRequest {
  shard: number;
  /** Id of the member that asks. */
  member: string;
}

export interface OpenStateResponse {
  epoch: number;
  saved: ReplicaSnapshot;
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** No faults. A read. */
    "shard.goesOn": RpcMethod<CanExtendRequest, CanExtendResponse>;
    /** No faults. A read. */
    "shard.segments": RpcMethod<SegmentsRequest, SegmentsResponse>;
    /** Faults: notFound, disk. A read. */
    "shard.segmentPart": RpcMethod<SegmentChunkRequest, SegmentChunkResponse>;
    /** Faults: notLead. A read. */
    "shard.openState": RpcMethod<OpenStateRequest, OpenStateResponse>;
  }
}

const isSegmentKind = (value: unknown): value is SegmentKind => (SEGMENT_KINDS as readonly unknown[]).includes(value);
const isSegmentPart = (value: unknown): value is SegmentPart => value === "seg" || value === "idx";

export const isCanExtendRequest = (body: unknown): body is CanExtendRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isOptional(body.seq, isInteger) &&
  isOptional(body.lastEpoch, isInteger);

export const isSegmentsRequest = (body: unknown): body is SegmentsRequest =>
  isJsonObject(body) && isShardIndex(body.shard);

export const isSegmentChunkRequest = (body: unknown): body is SegmentChunkRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isSegmentKind(body.kind) &&
  isNonNegativeInteger(body.number) &&
  isSegmentPart(body.part) &&
  isNonNegativeInteger(body.from);

export const isOpenStateRequest = (body: unknown): body is OpenStateRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isString(body.member);
