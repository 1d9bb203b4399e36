/** Bodies of the RPC methods of the quota of waiting tokens, and the validation of received ones. */
import {
  isNonNegativeInteger,
  isBoolean,
  isArrayOf,
  isFiniteNumber,
  isJsonObject,
  isShardIndex,
  isString,
} from "../../rpc/bodyChecks";

/** The tokens that wait on a route in one shard, counted by a replica of the shard. */
export interface UsageReport {
  shard: number;
  /** Epoch of the shard's view in which the tokens were counted. */
  epoch: number;
  /** Sequence number that grows with every report of a leader; -1 in reports of other replicas. */
  turn: number;
  /** Tokens of all items without a result, including those of `asking`. */
  tokens: number;
  /** Tokens of the jobs whose reservation or put is still pending, by job id. */
  asking: Record<string, number>;
}

/** Reserves quota for a job at the node that owns the route's count. */
export interface QuotaReservation {
  /** Name of the route. */
  binding: string;
  /** Id of the job. */
  lot: string;
  tokens: number;
  /** Report of the job's shard. */
  tally: UsageReport;
}

/** Asks a storage node for the reports of shards that it stores. */
export interface UsageRequest {
  /** Name of the route. */
  binding: string;
  shards: number[];
  /** Whether replicas that do not lead their shard report too. */
  anyCopy: boolean;
}

export interface UsageResponse {
  tallies: UsageReport[];
}

declare module "../../rpc/methods" {
  interface RpcMethods {
    /** Faults: notLead, busy (step "quota" if over the quota). Idempotent by the id of the job. */
    "quota.reserve": RpcMethod<QuotaReservation & { shard: number }, true>;
    /** No faults. Read-only. */
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
