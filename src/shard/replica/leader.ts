import { Constants } from "../../common/constants";
import type { ShardView } from "../../controlState/shardView";
import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { Leadership } from "./leadership";
import type { LogReplication } from "./logReplication";
import { MemberSender, RESEND_MS } from "./memberSender";
import { MEMBERS_MAX, ReplicaState } from "./replicaState";
import type { StablePrefix } from "./stablePrefix";

/** Runs a leadership: acquires a lease from every other member, replicates puts, and renews the leases. */
export class Leader {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly stablePrefix: StablePrefix,
    private readonly replication: LogReplication,
    private readonly sender: MemberSender,
  ) {}

  /** Leads a view until the leadership ends. */
  *run({ epoch }: ShardView): Task<void> {
    const { state, leadership } = this;
    const { env, hooks, shard } = state.context;
    leadership.reset();
    yield* this.acquireLeases(epoch);
    while (env.monotonicMs() < leadership.mayStartAt && leadership.isLeaderOf(epoch))
      yield* EnvironmentTools.takeWithin(env, leadership.wake, leadership.mayStartAt - env.monotonicMs());
    if (!leadership.isLeaderOf(epoch)) return;
    env.faultPoint(44);
    state.applyLog();
    this.stablePrefix.startLeading();
    state.viewChangeReason = "";
    state.role = "lead";
    for (const id of state.otherMembers()) yield* this.sender.renewLease(id, epoch, state.log.lastSeq);
    if (!leadership.isLeaderOf(epoch)) return;
    env.log(1411, { shard, epoch, seq: state.log.lastSeq });
    hooks.leadershipStarted();
    Csp.go(env.scope, `renew leases of shard ${shard} epoch ${epoch}`, () => this.renewLeases(epoch));
    yield* this.replication.run(epoch);
  }
  private *acquireLeases(epoch: number): Task<void> {
    const { state, leadership, sender } = this;
    const { env } = state.context;
    const acquired = Csp.chan<true>(MEMBERS_MAX);
    for (const id of state.otherMembers())
      Csp.go(env.scope, `acquire lease of ${id}`, function* () {
        // The view was committed only after every member's log had the same end as this one.
        while (leadership.isLeaderOf(epoch) && (yield* sender.renewLease(id, epoch, state.log.lastSeq)) !== "synced")
          yield* EnvironmentTools.sleep(env, RESEND_MS);
        Csp.offer(acquired, true);
      });
    for (let answered = 0; answered < state.otherMembers().length; answered += 1) yield* Csp.take(acquired);
  }
  private *renewLeases(epoch: number): Task<void> {
    const { state, leadership, sender } = this;
    const { env, hooks } = state.context;
    while (leadership.isLeaderOf(epoch)) {
      this.stablePrefix.advance();
      if (leadership.needsViewChange()) hooks.viewChangeNeeded();
      // Entries renew the lease too, so that only members that were sent none recently need a renewal.
      const dueBefore =
        env.monotonicMs() + Constants.shardLeaseMs - Constants.shardLeaseMarginMs - Constants.leaseRenewMs / 2;
      for (const id of state.otherMembers().filter((other) => leadership.leaseEnd(other) < dueBefore))
        Csp.go(env.scope, "renew lease", function* () {
          const outcome = yield* sender.renewLease(id, epoch, state.appliedSeq);
          if (outcome === "behind") leadership.memberFailed(id, env.monotonicMs());
        });
      yield* EnvironmentTools.sleep(env, Constants.leaseRenewMs);
    }
  }
}
