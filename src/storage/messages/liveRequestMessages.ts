/** Bodies of the methods of live requests, and the checks of those that arrive. */
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

/** A live request as its ingress submits it; its deadline is wall time, ms. */
export type LiveRequestSpec = OperationOf<"open">["work"];

/** Accepts a live request and starts its first attempt. */
export interface OpenRequest {
  shard: number;
  /** When the request arrived at its ingress; later when the open is repeated. */
  stamp: Stamp;
  work: LiveRequestSpec;
  /** Who sent the request, as the policies match it. */
  caller: string;
  /** Configuration and policy under which the ingress admitted it, for the ledger. */
  cause: Cause;
}

/** An object of the same id was accepted earlier. */
export interface ExistingObject {
  tag: "exists";
  /** Whether it has the same body; if not, the id was used twice for different things. */
  same: boolean;
  /** The state it is in; "trimmed" where only its id is left. */
  state: string;
}

export type OpenResponse = { tag: "opened" } | ExistingObject;

/** Makes sure that a request that its ingress has given up never runs. */
export interface RefuseRequest {
  shard: number;
  id: string;
  stamp: Stamp;
}

export interface RefuseResponse {
  /** False if it was accepted after all, and may run. */
  refused: boolean;
}

/** Reads the response of a live request as far as it is stored on every replica. */
export interface ReadRequest {
  shard: number;
  id: string;
  /** How many chunks the reader has. */
  after: number;
  /** How long to wait for a further chunk, ms. */
  waitMs: number;
}

export interface ReadResponse {
  /** Chunks after those that the reader has; `n` counts from 1. */
  pieces: { n: number; data: string }[];
  closed: boolean;
  state: LiveRequestState;
  /** JSON text with the status or the detail; empty while the request is open. */
  outcome: string;
  bodyHash: string;
  /** Name of the route. */
  binding: string;
}

/** Asks a storage node which of these claims it still executes. */
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
    /** Faults: notLead, notFound, disk. A read. */
    "work.read": RpcMethod<ReadRequest, ReadResponse>;
    /** No faults. A read. */
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
