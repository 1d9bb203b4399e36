/** Bodies of the methods of the quota of waiting tokens, and the checks of those that arrive. */
import {
  isNonNegativeInteger,
  isBoolean,
  isArrayOf,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";

/** What waits on a route in one shard, as a replica of the shard counts it. */
export interface UsageReport {
  shard: number;
  /** Epoch of the shard's view in which it was counted. */
  epoch: number;
  /** Rises with every report of a leader, so that of two the later is known; -1 from a replica that doesn't lead. */
  turn: number;
  /** Tokens of items without a result, those of `asking` among them. */
  tokens: number;
  /** Tokens of jobs that wait for their reservation or their put, by job id. */
  asking: Record<string, number>;
}

/** Reserves quota for a job at the owner of the route's count. */
export interface QuotaReservation {
  /** Name of the route. */
  binding: string;
  /** Id of the job. */
  lot: string;
  tokens: number;
  /** What waits in the job's shard. */
  tally: UsageReport;
}

/** Asks a storage node what waits on a route in shards that it stores. */
export interface UsageRequest {
  /** Name of the route. */
  binding: string;
  shards: number[];
  /** Whether a replica that doesn't lead its shard reports too. */
  anyCopy: boolean;
}

export interface UsageResponse {
  tallies: UsageReport[];
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notLead, busy (step "quota" if it doesn't fit). Idempotent by the id of the job. */
    "quota.reserve": RpcMethod<QuotaReservation & { shard: number }, true>;
    /** No faults. A read. */
    "quota.tallies": RpcMethod<UsageRequest, UsageResponse>;
  }
}

const isUsageReport = (value: unknown): value is UsageReport =>
  isJsonObject(value) &&
  isShardIndex(value.shard) &&
  [value.epoch, value.turn, value.tokens].every(isFiniteNumber) &&
  isJsonObject(value.asking) &&
  Object.values(value.asking).every(isFiniteNumber);

export const isQuotaReservation = (body: unknown): body is QuotaReservation & { shard: number } =>
  isJsonObject(body) &&
  isShardIndex(body.shard) &&
  isString(body.binding) &&
  isString(body.lot) &&
  isFiniteNumber(body.tokens) &&
  isUsageReport(body.tally);

export const isUsageRequest = (body: unknown): body is UsageRequest =>
  isJsonObject(body) &&
  isString(body.binding) &&
  isArrayOf(body.shards, isNonNegativeInteger) &&
  isBoolean(body.anyCopy);
