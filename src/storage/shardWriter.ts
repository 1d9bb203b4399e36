import { Constants } from "../common/constants";
import { Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { ShardReplica } from "../shard/shardReplica";
import { Cause, PutOutcome, ShardOperation } from "../shard/shardTypes";
import { ShardClient } from "./shardClient";

/** How long one put to a shard that this node leads may take, ms. */
const LOCAL_PUT_MS = 2500;
/** Pause before a put that came behind the stable prefix is stamped anew, ms. */
export const RESTAMP_PAUSE_MS = 10;

/**
 * Puts operations into shards for the work that this node executes: directly where it leads the shard, else through the
 * leader of the moment.
 *
 * @example
 * const put = yield* writer.put(3, "close-req-1", [{ op: "close", ... }], {}, 20_000);
 */
export class ShardWriter {
  /**
   * @param leaseCheck when a put that comes late again and again looks at the lease: before its first attempt only, or before
   *   each
   * @param onPut called with the operations of each put that this node's own replica has ordered
   */
  constructor(
    private readonly env: Environment,
    private readonly shardClient: ShardClient,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    private readonly leaseCheck: "firstAttempt" | "everyAttempt",
    private readonly onPut: (operations: readonly ShardOperation[]) => void = () => undefined,
  ) {}

  /** Faults as of `ShardClient.put`. A put id is applied at most once, whichever leaders see it. */
  *put(shard: number, putId: string, ops: ShardOperation[], cause: Cause, withinMs: number): Task<Result<PutOutcome>> {
    const replica = this.replicas.get(shard);
    for (let attempt = 0; attempt < Constants.restampAttempts; attempt += 1) {
      if (!replica || !this.mayPut(replica, attempt)) break;
      const stamp = this.shardClient.stamp(this.env.wallClockMs());
      const put = yield* replica.put({ putId, stamp, ops, cause }, Math.min(withinMs, LOCAL_PUT_MS));
      if (put.ok) {
        this.onPut(ops);
        return put;
      }
      if (put.fault.tag !== "late") break;
      yield* EnvironmentTools.sleep(this.env, RESTAMP_PAUSE_MS);
    }
    return yield* this.shardClient.put(shard, putId, ops, cause, withinMs);
  }

  private mayPut(replica: ShardReplica, attempt: number): boolean {
    return (attempt > 0 && this.leaseCheck === "firstAttempt") || replica.holdsLease();
  }
}
