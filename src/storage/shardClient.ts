import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import { ClusterSnapshot } from "../node/clusterSnapshot";
import { RequestOf, ResponseOf } from "../rpc/methods";
import { Rpc } from "../rpc/rpc";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import type { ShardMethod } from "../shard/checkedHandlers";
import { Cause, PutOutcome, ShardOperation } from "../shard/shardTypes";

/** One call may take this long where its caller doesn't say, ms. */
const ATTEMPT_MS = 1200;
/** Pause before a put that came behind the stable prefix is stamped anew, ms. */
const RESTAMP_PAUSE_MS = 15;
/** The first pause is this share of the later ones: a leader that has just changed is mostly known soon. */
const FIRST_PAUSE_SHARE = 0.3;

/**
 * Client of the shards: calls whichever storage node leads a shard now, until the time is up. A put that came too late
 * is stamped anew under the same put id, which is applied at most once, so that a repeated call is safe.
 *
 * @example
 * const shardClient = new ShardClient(env, rpc, "node-1", () => node.snapshot());
 * yield* shardClient.put(3, "p-1", ops, {}, 5000);
 */
export class ShardClient {
  /** The next stamp of this node, at a wall time in ms. */
  readonly stamp: (now: number) => Stamp;
  restampedPuts = 0;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    selfId: string,
    private readonly snapshot: () => ClusterSnapshot,
  ) {
    this.stamp = Stamp.maker(selfId);
  }

  /** The shard of a request, a job or another subject. @example shardClient.shardOf("lot-17") */
  shardOf = (id: string): number => Hash.number(id) % Constants.shardCount;

  /** Address of a shard's leader, as far as known. @example shardClient.leaderAddress(3) */
  leaderAddress(shard: number): string | undefined {
    const snapshot = this.snapshot();
    const leader = snapshot.control?.views[shard]?.lead;
    return snapshot.members.find((member) => member.id === leader)?.address;
  }

  /**
   * Calls the leader of a shard until it responds. Only faults that another leader or another stamp may cure are
   * retried. The fault "unknown" means that an attempt may have arrived.
   *
   * @param body made anew for each attempt
   * @example yield* shardClient.callLeader(3, "work.read", () => ({ id, after: 3, waitMs: 800 }), 5000)
   */
  *callLeader<Method extends ShardMethod>(
    shard: number,
    method: Method,
    body: () => Omit<RequestOf<Method>, "shard">,
    withinMs: number,
    attemptMs = ATTEMPT_MS,
    unsentMs = withinMs,
  ): Task<Result<ResponseOf<Method>>> {
    const startedAt = this.env.monotonicMs();
    const until = startedAt + withinMs;
    let last: Result<ResponseOf<Method>> = Fault.fail("timeout", method, `shard ${shard}`, "no lead known");
    let mayHaveArrived = false;
    for (let attempt = 0; ; attempt += 1) {
      const remainingMs = until - this.env.monotonicMs();
      // as long as nothing can have arrived, the caller needn't wait for an outcome
      if (!mayHaveArrived && attempt > 0 && this.env.monotonicMs() - startedAt > unsentMs) return last;
      if (remainingMs <= 0)
        return mayHaveArrived && !last.ok ? Fault.fail("unknown", method, last.fault.member, last.fault.detail) : last;
      const address = this.leaderAddress(shard);
      if (address) {
        last = yield* this.callOnce(address, shard, method, body(), Math.min(remainingMs, attemptMs));
        if (last.ok) return last;
        const retry = retryAfter(last.fault);
        if (retry === "never") return last;
        if (retry === "restamped") {
          this.restampedPuts += 1;
          this.env.log(1405, { shard, verb: method });
          yield* EnvironmentTools.sleep(this.env, RESTAMP_PAUSE_MS);
          continue;
        }
        if (retry === "mayHaveArrived") mayHaveArrived = true;
      }
      const pauseMs = Math.min(Constants.leaderSearchPauseMs, Math.max(1, until - this.env.monotonicMs()));
      yield* EnvironmentTools.sleep(this.env, pauseMs * (attempt === 0 ? FIRST_PAUSE_SHARE : 1));
    }
  }

  /** A leader that doesn't respond isn't waited for once another has replaced it. */
  private callOnce<Method extends ShardMethod>(
    address: string,
    shard: number,
    method: Method,
    body: Omit<RequestOf<Method>, "shard">,
    timeoutMs: number,
  ): Task<Result<ResponseOf<Method>>> {
    const request = { ...body, shard } as RequestOf<Method>;
    const isReplaced = (): boolean => this.leaderAddress(shard) !== address;
    return this.rpc.call(address, method, request, timeoutMs, isReplaced);
  }

  /**
   * Puts operations into a shard. Faults: "busy", "unknown" and those of a shard that has no leader in time.
   * @example yield* shardClient.put(3, "p-1", [{ op: "note", entries }], {}, 5000)
   */
  *put(shard: number, putId: string, ops: ShardOperation[], cause: Cause, withinMs: number): Task<Result<PutOutcome>> {
    return yield* this.callLeader(
      shard,
      "shard.put",
      () => ({ put: { putId, stamp: this.stamp(this.env.wallClockMs()), ops, cause } }),
      withinMs,
    );
  }
}

/** What a fault means for a further attempt. */
function retryAfter(fault: Fault): "never" | "restamped" | "mayHaveArrived" | "hasNotArrived" {
  switch (fault.tag) {
    case "late":
      return "restamped";
    case "timeout":
    case "broken":
    case "unknown":
      return "mayHaveArrived";
    case "refused":
    case "notLead":
      return "hasNotArrived";
    default:
      return "never";
  }
}
