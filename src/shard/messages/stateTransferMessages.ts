/** Messages of state transfer: a replica copies a shard from another replica. */
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

/** Asks whether the receiver can extend a log that ends at a position by entries that it has in memory. */
export interface CanExtendRequest {
  shard: number;
  /** Position and epoch of the last entry; both are missing for an empty log. */
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

/** Reads a chunk of a segment file. */
export interface SegmentChunkRequest {
  shard: number;
  kind: SegmentKind;
  number: number;
  part: SegmentPart;
  /** Offset in the file, bytes. */
  from: number;
}

export interface SegmentChunkResponse {
  /** Content of the chunk, base64. */
  data: string;
  /** Size of the file, bytes. */
  size: number;
}

/** Reads the leader's state without its written segments. */
export interface OpenStateRequest {
  shard: number;
  /** Id of the requesting node. */
  member: string;
}

export interface OpenStateResponse {
  epoch: number;
  saved: ReplicaSnapshot;
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** No faults. Read-only. */
    "shard.goesOn": RpcMethod<CanExtendRequest, CanExtendResponse>;
    /** No faults. Read-only. */
    "shard.segments": RpcMethod<SegmentsRequest, SegmentsResponse>;
    /** Faults: notFound, disk. Read-only. */
    "shard.segmentPart": RpcMethod<SegmentChunkRequest, SegmentChunkResponse>;
    /** Faults: notLead. Read-only. */
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
