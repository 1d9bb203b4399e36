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

/** Default time-out of one attempt, ms. */
const ATTEMPT_TIMEOUT_MS = 1200;
/** Pause before a put whose stamp the stable prefix has already passed is sent with a new stamp, ms. */
const RESTAMP_PAUSE_MS = 15;
/** Ratio of the first pause to the later ones: a new leader is usually known soon after a change. */
const FIRST_PAUSE_FACTOR = 0.3;

/**
 * Client of the shards: calls the storage node that currently leads a shard, with retries up to a time-out. A put that
 * is rejected as late is sent again with a new stamp and the same put id. A put id is applied at most once, so retries
 * are safe.
 *
 * @example
 * const shardClient = new ShardClient(env, rpc, "node-1", () => node.snapshot());
 * yield* shardClient.put(3, "p-1", ops, {}, 5000);
 */
export class ShardClient {
  /** Makes the next stamp of this node from a wall time in ms. */
  readonly stamp: (now: number) => Stamp;
  /** Calls that were repeated with a new stamp. */
  restampedPuts = 0;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    selfId: string,
    private readonly snapshot: () => ClusterSnapshot,
  ) {
    this.stamp = Stamp.maker(selfId);
  }

  /** The shard that stores a request, a job or another subject. */
  shardOf = (id: string): number => Hash.number(id) % Constants.shardCount;

  /** The address of a shard's leader; undefined if it is unknown. */
  leaderAddress(shard: number): string | undefined {
    const snapshot = this.snapshot();
    const leader = snapshot.control?.views[shard]?.lead;
    return snapshot.members.find((member) => member.id === leader)?.address;
  }

  /**
   * Calls the leader of a shard, with retries for faults that another leader or a new stamp may resolve. The fault
   * "unknown" means that an attempt may have arrived and its outcome is not known.
   *
   * @param body makes the body of each attempt
   * @param unsentTimeoutMs the call ends earlier, after this time, if no attempt can have arrived
   * @example yield* shardClient.callLeader(3, "work.read", () => ({ id, after: 3, waitMs: 800 }), 5000)
   */
  *callLeader<Method extends ShardMethod>(
    shard: number,
    method: Method,
    body: () => Omit<RequestOf<Method>, "shard">,
    timeoutMs: number,
    attemptTimeoutMs = ATTEMPT_TIMEOUT_MS,
    unsentTimeoutMs = timeoutMs,
  ): Task<Result<ResponseOf<Method>>> {
    const startedAt = this.env.monotonicMs();
    const deadline = startedAt + timeoutMs;
    let lastResult: Result<ResponseOf<Method>> = Fault.fail("timeout", method, `shard ${shard}`, "no lead known");
    let mayHaveArrived = false;
    for (let attempt = 0; ; attempt += 1) {
      const remainingMs = deadline - this.env.monotonicMs();
      // If no attempt can have arrived, there is no outcome to wait for.
      if (!mayHaveArrived && attempt > 0 && this.env.monotonicMs() - startedAt > unsentTimeoutMs) return lastResult;
      if (remainingMs <= 0)
        return mayHaveArrived && !lastResult.ok
          ? Fault.fail("unknown", method, lastResult.fault.member, lastResult.fault.detail)
          : lastResult;
      const address = this.leaderAddress(shard);
      if (address) {
        lastResult = yield* this.callOnce(address, shard, method, body(), Math.min(remainingMs, attemptTimeoutMs));
        if (lastResult.ok) return lastResult;
        const retry = retryDecision(lastResult.fault);
        if (retry === "never") return lastResult;
        if (retry === "restamped") {
          this.restampedPuts += 1;
          this.env.log(1405, { shard, verb: method });
          yield* EnvironmentTools.sleep(this.env, RESTAMP_PAUSE_MS);
          continue;
        }
        if (retry === "mayHaveArrived") mayHaveArrived = true;
      }
      const pauseMs = Math.min(Constants.leaderSearchPauseMs, Math.max(1, deadline - this.env.monotonicMs()));
      yield* EnvironmentTools.sleep(this.env, pauseMs * (attempt === 0 ? FIRST_PAUSE_FACTOR : 1));
    }
  }

  /** Makes one attempt. It ends early when another node replaces the leader that was called. */
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
   * Puts operations into a shard, applied at most once by the put id. Faults: "busy", "unknown", and the last fault met
   * if no leader was reached within the time-out.
   */
  *put(shard: number, putId: string, ops: ShardOperation[], cause: Cause, timeoutMs: number): Task<Result<PutOutcome>> {
    return yield* this.callLeader(
      shard,
      "shard.put",
      () => ({ put: { putId, stamp: this.stamp(this.env.wallClockMs()), ops, cause } }),
      timeoutMs,
    );
  }
}

/** Decides whether a fault is retried, and whether the failed attempt may have arrived. */
function retryDecision(fault: Fault): "never" | "restamped" | "mayHaveArrived" | "hasNotArrived" {
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
