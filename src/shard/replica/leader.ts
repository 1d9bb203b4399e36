import { Constants } from "../../common/constants";
import type { ShardView } from "../../controlState/shardView";
import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { Leadership } from "./leadership";
import type { LogReplication } from "./logReplication";
import { MemberSender, RESEND_MS } from "./memberSender";
import { MEMBERS_MAX, ReplicaState } from "./replicaState";
import type { StablePrefix } from "./stablePrefix";

/** The time of one leadership: acquires the leases of all members, serves, and renews the leases. */
export class Leader {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly stablePrefix: StablePrefix,
    private readonly replication: LogReplication,
    private readonly sender: MemberSender,
  ) {}

  /** Leads a view until the leadership ends. @example Csp.go(env.scope, "leader", () => leader.run(view)); */
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
    Csp.go(env.scope, `renewals of shard ${shard} epoch ${epoch}`, () => this.renewLeases(epoch));
    yield* this.replication.run(epoch);
  }
  private *acquireLeases(epoch: number): Task<void> {
    const { state, leadership, sender } = this;
    const { env } = state.context;
    const done = Csp.chan<true>(MEMBERS_MAX);
    for (const id of state.otherMembers())
      Csp.go(env.scope, `grant of ${id}`, function* () {
        // Every member's log ends where this one does: the view was committed only then.
        while (leadership.isLeaderOf(epoch) && (yield* sender.renewLease(id, epoch, state.log.lastSeq)) !== "synced")
          yield* EnvironmentTools.sleep(env, RESEND_MS);
        Csp.offer(done, true);
      });
    for (let answered = 0; answered < state.otherMembers().length; answered += 1) yield* Csp.take(done);
  }
  private *renewLeases(epoch: number): Task<void> {
    const { state, leadership, sender } = this;
    const { env, hooks } = state.context;
    while (leadership.isLeaderOf(epoch)) {
      this.stablePrefix.advance();
      if (leadership.needsViewChange()) hooks.viewChangeNeeded();
      // Entries renew the lease as well: only members that got none lately are sent a renewal.
      const dueBefore =
        env.monotonicMs() + Constants.shardLeaseMs - Constants.shardLeaseMarginMs - Constants.leaseRenewMs / 2;
      for (const id of state.otherMembers().filter((other) => leadership.leaseEnd(other) < dueBefore))
        Csp.go(env.scope, "renew", function* () {
          const outcome = yield* sender.renewLease(id, epoch, state.appliedSeq);
          if (outcome === "behind") leadership.memberFailed(id, env.monotonicMs());
        });
      yield* EnvironmentTools.sleep(env, Constants.leaseRenewMs);
    }
  }
}
