import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { RequestOf, ResponseOf } from "../rpc/methods";
import { Task } from "../runtime/csp";
import { ShardClient } from "../storage/shardClient";

const timeoutMs = 5000;
/** Faults that a caller gets as they are; for all others it should retry. */
const definiteFaults: Fault["tag"][] = ["notFound", "gone", "busy", "unknown"];

/**
 * Calls the leader of a job's shard with a body that is made anew for each attempt.
 *
 * @example
 * const status = yield* callJobLeader(shardClient, "lot.status", "job-17", () => ({}));
 */
export function* callJobLeader<Method extends "lot.status" | "lot.end">(
  shardClient: ShardClient,
  method: Method,
  id: string,
  body: () => Omit<RequestOf<Method>, "shard" | "id">,
): Task<Result<ResponseOf<Method>>> {
  const request = () => ({ id, ...body() }) as RequestOf<Method>;
  const response = yield* shardClient.callLeader(shardClient.shardOf(id), method, request, timeoutMs);
  if (response.ok || definiteFaults.includes(response.fault.tag)) return response;
  const { step, member, detail } = response.fault;
  return Fault.busy(step, member, detail, Constants.retryAfterMs);
}
