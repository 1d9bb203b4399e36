import { Constants } from "../common/constants";
import { Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { Cause, PutOutcome, ShardOperation } from "../shard/shardTypes";
import { ShardClient } from "./shardClient";

/** Time-out of one attempt of a put to a shard that this node leads, ms. */
const LOCAL_PUT_TIMEOUT_MS = 2500;
/** Pause before a put whose stamp the stable prefix has already passed is retried with a new stamp, ms. */
export const RESTAMP_PAUSE_MS = 10;

/**
 * Puts operations into shards for the work that this node executes: through the local replica if it leads the shard,
 * otherwise through the shard's current leader.
 */
export class ShardWriter {
  /**
   * @param leaseCheck whether a put that is retried with new stamps checks the lease before its first attempt only, or
   *   before every attempt
   * @param onPut called with the operations of each put that the local replica completed
   */
  constructor(
    private readonly env: Environment,
    private readonly shardClient: ShardClient,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly leaseCheck: "firstAttempt" | "everyAttempt",
    private readonly onPut: (operations: readonly ShardOperation[]) => void = () => undefined,
  ) {}

  /** Puts operations. A put id is applied at most once, whichever leaders receive it. Faults: see `ShardClient.put`. */
  *put(shard: number, putId: string, ops: ShardOperation[], cause: Cause, timeoutMs: number): Task<Result<PutOutcome>> {
    const replica = this.replicas.get(shard);
    for (let attempt = 0; attempt < Constants.restampAttempts; attempt += 1) {
      if (!replica || !this.mayPutLocally(replica, attempt)) break;
      const stamp = this.shardClient.stamp(this.env.wallClockMs());
      const put = yield* replica.put({ putId, stamp, ops, cause }, Math.min(timeoutMs, LOCAL_PUT_TIMEOUT_MS));
      if (put.ok) {
        this.onPut(ops);
        return put;
      }
      if (put.fault.tag !== "late") break;
      yield* EnvironmentTools.sleep(this.env, RESTAMP_PAUSE_MS);
    }
    return yield* this.shardClient.put(shard, putId, ops, cause, timeoutMs);
  }

  private mayPutLocally(replica: ShardReplica, attempt: number): boolean {
    return (attempt > 0 && this.leaseCheck === "firstAttempt") || replica.holdsLease();
  }
}
