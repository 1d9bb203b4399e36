/** Bodies of the RPC methods of live requests, and the validation of received ones. */
import { Stamp } from "../../common/stamp";
import type { Cause, LiveRequestState, OperationOf } from "../../shard/shardTypes";
import {
  isNonNegativeInteger,
  isBoolean,
  isArrayOf,
  isNonEmptyString,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isStamp,
  isString,
} from "../../rpc/bodyChecks";

/** A live request as its ingress submits it. Its deadline is wall time, ms. */
export type LiveRequestSpec = OperationOf<"open">["work"];

/** Accepts a live request and starts its first attempt. */
export interface OpenRequest {
  shard: number;
  /** When the request arrived at its ingress. A repeated open has a later stamp. */
  stamp: Stamp;
  work: LiveRequestSpec;
  /** Identity of the caller, which policies match. */
  caller: string;
  /** Configuration and policy under which the ingress admitted the request, for the ledger. */
  cause: Cause;
}

/** Response if an object of the same id was accepted earlier. */
export interface ExistingObject {
  tag: "exists";
  /** Whether that object has the same body. If not, the id was used for two different objects. */
  same: boolean;
  /** State of that object; "trimmed" if retention has left only its id. */
  state: string;
}

export type OpenResponse = { tag: "opened" } | ExistingObject;

/** Ensures that a request or a submission of a job that its ingress has given up never runs. */
export interface RefuseRequest {
  shard: number;
  id: string;
  stamp: Stamp;
}

export interface RefuseResponse {
  /** False if it was accepted after all and may run. */
  refused: boolean;
}

/** Reads the part of a live request's response that is stored on every replica. */
export interface ReadRequest {
  shard: number;
  id: string;
  /** Number of chunks that the reader already has. */
  after: number;
  /** How long to wait for a further chunk, ms. */
  waitMs: number;
}

export interface ReadResponse {
  /** The chunks that follow those that the reader has. `n` counts from 1. */
  pieces: { n: number; data: string }[];
  closed: boolean;
  state: LiveRequestState;
  /** JSON text of the outcome, with the HTTP status or the detail of a failure; empty while the request is open. */
  outcome: string;
  bodyHash: string;
  /** Name of the route. */
  binding: string;
}

/** Asks a storage node which of these requests and items it still executes. */
export interface RunningRequest {
  /** Ids of live requests, and `JOB/INDEX` of batch items. */
  ids: string[];
}

export interface RunningResponse {
  running: string[];
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notLead, late, notFound (no such route), busy, unknown. Idempotent by the id of the request. */
    "work.open": RpcMethod<OpenRequest, OpenResponse>;
    /** Faults: notLead, late, busy, unknown. Idempotent: a closed request stays closed. */
    "work.refuse": RpcMethod<RefuseRequest, RefuseResponse>;
    /** Faults: notLead, notFound, disk. Read-only. */
    "work.read": RpcMethod<ReadRequest, ReadResponse>;
    /** No faults. Read-only. */
    "work.running": RpcMethod<RunningRequest, RunningResponse>;
  }
}

const isSpec = (value: unknown): value is LiveRequestSpec =>
  isJsonObject(value) &&
  isNonEmptyString(value.id) &&
  [value.binding, value.bodyHash, value.body, value.life].every(isString) &&
  [value.keyed, value.safe, value.exact].every(isBoolean) &&
  [value.deadlineAt, value.order].every(isFiniteNumber);

export const isOpenRequest = (body: unknown): body is OpenRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isStamp(body.stamp) &&
  isSpec(body.work) &&
  isString(body.caller) &&
  isJsonObject(body.cause);

export const isRefuseRequest = (body: unknown): body is RefuseRequest =>
  isJsonObject(body) && isShardIndex(body.shard) && isNonEmptyString(body.id) && isStamp(body.stamp);

export const isReadRequest = (body: unknown): body is ReadRequest =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isNonEmptyString(body.id) &&
  isNonNegativeInteger(body.after) &&
  isFiniteNumber(body.waitMs);

export const isRunningRequest = (body: unknown): body is RunningRequest =>
  isJsonObject(body) && isArrayOf(body.ids, isString);
