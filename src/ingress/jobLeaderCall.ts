import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { RequestOf, ResponseOf } from "../rpc/methods";
import { Task } from "../runtime/csp";
import { ShardClient } from "../storage/shardClient";

const TIMEOUT_MS = 5000;
/** Faults that are returned unchanged; all others become "busy", so that the caller retries. */
const definitiveFaults: Fault["tag"][] = ["notFound", "gone", "busy", "unknown"];

/** Calls the leader of a job's shard; `body` is called for each attempt. */
export function* callJobLeader<Method extends "lot.status" | "lot.end">(
  shardClient: ShardClient,
  method: Method,
  id: string,
  body: () => Omit<RequestOf<Method>, "shard" | "id">,
): Task<Result<ResponseOf<Method>>> {
  const request = () => ({ id, ...body() }) as RequestOf<Method>;
  const response = yield* shardClient.callLeader(shardClient.shardOf(id), method, request, TIMEOUT_MS);
  if (response.ok || definitiveFaults.includes(response.fault.tag)) return response;
  const { step, member, detail } = response.fault;
  return Fault.busy(step, member, detail, Constants.retryAfterMs);
}
