import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { ClusterSnapshot } from "../node/clusterSnapshot";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import { Rpc } from "../rpc/rpc";
import { Cause, ShardOperation, PutOutcome } from "../shard/shardState";

/**
 * Puts and asks to whichever store leads a shard now, until the time is up. A late put is stamped anew
 * under the same put id; a repeat of a put id changes nothing, so asking again is safe.
 *
 * @example
 * const putter = new Putter(env, rpc, "node-1", () => node.frame());
 * yield* putter.put(3, "p-1", ops, {}, 5000);
 */
export class ShardClient {
  readonly stamp: (now: number) => Stamp;
  restampedPuts = 0;
  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    self: string,
    private readonly snapshot: () => ClusterSnapshot,
  ) {
    this.stamp = Stamp.maker(self);
  }
  /** @example putter.shardOf("lot-17") */
  shardOf = (id: string): number => Hash.number(id) % Constants.shardCount;
  /** @example putter.leadAddress(3) */
  leaderAddress(shard: number): string | undefined {
    const snapshot = this.snapshot();
    const leader = snapshot.control?.views[shard]?.lead;
    return snapshot.members.find((member) => member.id === leader)?.address;
  }
  /** Asks the lead of a shard until it answers; only faults that a new lead or a new stamp may cure are tried again. @example yield* putter.askLead(3, "work.read", () => body, 5000) */
  *callLeader<R = any>(
    shard: number,
    verb: string,
    body: () => Record<string, unknown>,
    withinMs: number,
    attemptMs = 1200,
    unsentMs = withinMs,
  ): Task<Result<R>> {
    const startedAt = this.env.mono();
    const until = startedAt + withinMs;
    let last: Result<R> = Fault.fail("timeout", verb, `shard ${shard}`, "no lead known");
    let maybeSent = false;
    for (let attempt = 0; ; attempt += 1) {
      const left = until - this.env.mono();
      // as long as nothing can have arrived, there is no reason to hold the caller
      if (!maybeSent && attempt > 0 && this.env.mono() - startedAt > unsentMs) return last;
      if (left <= 0)
        return maybeSent && !last.ok ? Fault.fail("unknown", verb, last.fault.member, last.fault.detail) : last;
      const address = this.leaderAddress(shard);
      if (address) {
        // a lead that keeps silent is not waited for once another has its place
        last = yield* this.rpc.call<R>(
          address,
          verb,
          { ...body(), shard },
          Math.min(left, attemptMs),
          () => this.leaderAddress(shard) !== address,
        );
        if (last.ok) return last;
        switch (last.fault.tag) {
          case "late":
            this.restampedPuts += 1;
            this.env.log(1405, { shard, verb });
            yield* EnvTools.sleep(this.env, 15);
            continue;
          case "timeout":
          case "broken":
          case "unknown":
            maybeSent = true;
            break;
          case "refused":
          case "notLead":
            break;
          default:
            return last;
        }
      }
      yield* EnvTools.sleep(
        this.env,
        Math.min(Constants.storeAttemptMs, Math.max(1, until - this.env.mono())) * (attempt === 0 ? 0.3 : 1),
      );
    }
  }
  /** @example yield* putter.put(3, "p-1", [{ op: "note", entries }], {}, 5000) */
  *put(shard: number, putId: string, ops: ShardOperation[], cause: Cause, withinMs: number): Task<Result<PutOutcome>> {
    return yield* this.callLeader<PutOutcome>(
      shard,
      "shard.put",
      () => ({ put: { putId, stamp: this.stamp(this.env.wall()), ops, cause } }),
      withinMs,
    );
  }
}
