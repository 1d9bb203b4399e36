/** Bodies of the RPC methods of batch jobs (on the wire: lots), and the validation of received ones. */
import { Stamp } from "../../common/stamp";
import type { BatchItemState, BatchJobSpec, Cause, ItemRequest, PutOutcome } from "../../shard/shardTypes";
import type { ExistingObject, RefuseRequest, RefuseResponse } from "./liveRequestMessages";
import {
  isNonNegativeInteger,
  isBoolean,
  isArrayOf,
  isNonEmptyString,
  isFiniteNumber,
  isJsonObject,
  isOptional,
  isShardIndex,
  isStamp,
  isString,
} from "../../rpc/bodyChecks";

/** Submits a job whose items are whole HTTP requests. */
export interface SubmitJobRequest {
  shard: number;
  /** When the job arrived at its ingress. A repeated submission has a later stamp. */
  stamp: Stamp;
  /** Text of the stamp of the first attempt. It identifies this submission of the job, so that it can be refused. */
  life: string;
  lot: BatchJobSpec;
  /** Configuration and policy under which the ingress admitted the job, for the ledger. */
  cause: Cause;
}

export type SubmitJobResponse = { tag: "accepted" } | ExistingObject;

/** Accepts a job whose items run under a claim. */
export interface AcceptJobRequest {
  shard: number;
  stamp: Stamp;
  lot: BatchJobSpec;
  cause: Cause;
}

/** Reads a page of results in the order in which they became stable. */
export interface ListJobRequest {
  shard: number;
  id: string;
  /** Position of the first result, from 0. */
  from: number;
  /** How long to wait for the first result, ms. */
  waitMs: number;
  /** Whether a replica may respond whose stable prefix lags behind. */
  anyAge?: boolean;
}

export interface JobResultEntry {
  /** Id of the item. */
  id: string;
  state: "complete" | "abandoned";
  /** The response body; empty for an abandoned item. */
  text: string;
}

export interface JobResultPage {
  /** Number of items of the job. */
  total: number;
  results: JobResultEntry[];
  ended: boolean;
}

/** Reads the request body of one item. */
export interface ItemBodyRequest {
  shard: number;
  id: string;
  /** Id of the item. */
  item: string;
  /** Sent with every read of a job, but ignored by this one. */
  anyAge?: boolean;
}

export interface ItemBodyResponse {
  /** Encoded in base64. */
  body: string;
}

export interface JobStatusRequest {
  shard: number;
  id: string;
}

export interface JobStatusResponse {
  id: string;
  /** Name of the route. */
  binding: string;
  items: number;
  /** Number of items in each state. */
  states: Partial<Record<BatchItemState, number>>;
  ended: boolean;
  /** Number of items without a result. */
  open: number;
  /** Text of the stamp with which the job was accepted. */
  accepted: string;
  bodyHash: string;
}

/** Reads results with their positions and stamps. */
export interface JobResultsRequest {
  shard: number;
  id: string;
  /** Number of results that the reader already has. */
  after: number;
  /** Maximum number of results in the response. */
  limit: number;
  /** How long to wait for a further result, ms. */
  waitMs: number;
}

export interface PositionedResult {
  /** Position among the results, from 1. */
  position: number;
  /** Index of the item in its job. */
  item: number;
  /** Id of the item, if the items of the job are whole requests. */
  id?: string;
  state: BatchItemState;
  result: string;
  stamp: string;
}

export interface JobResultsResponse {
  results: PositionedResult[];
  /** Whether no further result will follow. */
  finished: boolean;
  ended: boolean;
  /** End of the replica's stable prefix: wall time, ms. */
  frontier: number;
}

export interface EndJobRequest {
  shard: number;
  id: string;
  stamp: Stamp;
  /** Who ends the job, for the ledger. */
  by: string;
}

export interface EndJobResponse {
  ended: true;
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notLead, late, busy (step "quota" if over the quota), unknown. Idempotent by the id of the job. */
    "lot.handIn": RpcMethod<SubmitJobRequest, SubmitJobResponse>;
    /** Faults: notLead, late, busy, unknown. Idempotent: a refused submission stays refused. */
    "lot.refuse": RpcMethod<RefuseRequest, RefuseResponse>;
    /** Faults: notLead, notFound, disk. Read-only. */
    "lot.list": RpcMethod<ListJobRequest, JobResultPage>;
    /** Faults: notLead, notFound, disk. Read-only. */
    "lot.itemBody": RpcMethod<ItemBodyRequest, ItemBodyResponse>;
    /** Faults: notLead, late, busy, unknown. Idempotent by the id of the job. */
    "lot.accept": RpcMethod<AcceptJobRequest, PutOutcome>;
    /** Faults: notLead, notFound, disk. Read-only. */
    "lot.status": RpcMethod<JobStatusRequest, JobStatusResponse>;
    /** Faults: notLead, notFound, disk. Read-only. */
    "lot.results": RpcMethod<JobResultsRequest, JobResultsResponse>;
    /** Faults: notLead, notFound, late, busy, unknown. Idempotent: an ended job stays ended. */
    "lot.end": RpcMethod<EndJobRequest, EndJobResponse>;
  }
}

const isItemRequest = (value: unknown): value is ItemRequest =>
  isJsonObject(value) &&
  isString(value.id) &&
  isString(value.target) &&
  isFiniteNumber(value.tokens) &&
  isJsonObject(value.headers) &&
  Object.values(value.headers).every(isString);

const isJobSpec = (value: unknown): value is BatchJobSpec =>
  isJsonObject(value) &&
  isNonEmptyString(value.id) &&
  isString(value.binding) &&
  isString(value.bodyHash) &&
  isArrayOf(value.bodies, isString) &&
  isBoolean(value.safe) &&
  isFiniteNumber(value.order) &&
  isJsonObject(value.kept) &&
  isOptional(value.since, isFiniteNumber) &&
  isOptional(value.requests, (requests) => isArrayOf(requests, isItemRequest));

const hasShardAndJob = (body: unknown): body is { shard: number; id: string; [field: string]: unknown } =>
  isJsonObject(body) && isShardIndex(body.shard) && isNonEmptyString(body.id);

export const isAcceptJobRequest = (body: unknown): body is AcceptJobRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isStamp(body.stamp) &&
  isJobSpec(body.lot) &&
  isJsonObject(body.cause);

export const isSubmitJobRequest = (body: unknown): body is SubmitJobRequest =>
  isJsonObject(body) && isString(body.life) && isAcceptJobRequest(body) && body.lot.requests !== undefined;

export const isListJobRequest = (body: unknown): body is ListJobRequest =>
  hasShardAndJob(body) &&
  isNonNegativeInteger(body.from) &&
  isFiniteNumber(body.waitMs) &&
  isOptional(body.anyAge, isBoolean);

export const isItemBodyRequest = (body: unknown): body is ItemBodyRequest =>
  hasShardAndJob(body) && isString(body.item) && isOptional(body.anyAge, isBoolean);

export const isJobStatusRequest = (body: unknown): body is JobStatusRequest => hasShardAndJob(body);

export const isJobResultsRequest = (body: unknown): body is JobResultsRequest =>
  hasShardAndJob(body) &&
  isNonNegativeInteger(body.after) &&
  isNonNegativeInteger(body.limit) &&
  isFiniteNumber(body.waitMs);

export const isEndJobRequest = (body: unknown): body is EndJobRequest =>
  hasShardAndJob(body) && isStamp(body.stamp) && isString(body.by);
