import { Fault, Result } from "../../common/fault";
import type { ShardView } from "../../controlState/shardView";
import type { InstallRequest, SealRequest, SealResponse } from "../messages/viewChangeMessages";
import { Csp, Task } from "../../runtime/csp";
import type { Leader } from "./leader";
import type { Leadership } from "./leadership";
import type { ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";

/**
 * View changes (virtual synchrony): the control group seals the logs of the old view, has them brought to the same end
 * ({@link SealedLogSync}), commits the next view, and installs it.
 */
export class ViewChange {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly storage: ReplicaStorage,
    private readonly leader: Leader,
  ) {}

  /** Handles "shard.seal": this replica then rejects the leader of the old epoch. */
  *onSeal(request: SealRequest): Task<Result<SealResponse>> {
    return yield* this.state.withLock(() => this.seal(request.epoch));
  }
  private *seal(epoch: number): Task<Result<SealResponse>> {
    const { state } = this;
    const { env, selfId } = state.context;
    if (!state.exists) return Fault.fail("notFound", "seal", selfId, "no copy here");
    // The log can't be used, but this replica no longer leads, so nobody has to wait until its lease has ended.
    if (state.isDiskBroken) return Fault.ok({ tag: "stopped" });
    if (state.sealedEpoch > epoch || state.epoch >= epoch)
      return Fault.fail("conflict", "seal", selfId, `sealed for ${state.sealedEpoch}`);
    if (state.sealedEpoch < epoch) {
      const written = yield* this.storage.write([{ tag: "seal", epoch }]);
      if (!written.ok) return written;
      state.sealedEpoch = epoch;
    }
    state.sealedEpochOfProcess = epoch;
    this.leadership.stop("sealed", true);
    state.applyLog();
    env.faultPoint(43);
    return Fault.ok({
      tag: "sealed",
      seq: state.log.lastSeq,
      lastEpoch: state.log.lastEpoch,
      tailFrom: state.log.firstSeq,
      grantLeftMs: Math.max(0, state.grantedLeaseEnd - env.monotonicMs()),
    });
  }

  /** Handles "shard.install": installs the view, and starts the leadership if this replica leads the view. */
  *onInstall({ view, waitMs }: InstallRequest): Task<Result<true>> {
    const mayStartAt = this.state.context.env.monotonicMs() + waitMs;
    const installed = yield* this.state.withLock(() => this.install(view));
    if (installed.ok && this.state.view?.epoch === view.epoch) this.startLeader(view, mayStartAt);
    return installed;
  }
  private *install(view: ShardView): Task<Result<true>> {
    const { state } = this;
    const { selfId } = state.context;
    if (view.epoch < state.epoch || state.sealedEpoch > view.epoch)
      return Fault.fail("conflict", "install", selfId, "a newer epoch is known");
    if (view.epoch === state.epoch && state.exists) return Fault.ok(true as const);
    if (state.isDiskBroken) return Fault.fail("disk", "install", selfId, "disk failed");
    const isMember = view.members.includes(selfId);
    if (!isMember) {
      this.leadership.stop("not in the new view");
      state.role = "out";
    } else if (!state.exists) {
      if (view.epoch > 1) return Fault.fail("notFound", "install", selfId, "no copy here: never start empty");
      state.sealedEpochOfProcess = 1;
    }
    this.leadership.stop("newer view");
    const written = yield* this.storage.write([{ tag: "view", view }]);
    if (written.ok) this.enterView(view, isMember);
    return written;
  }
  private enterView(view: ShardView, isMember: boolean): void {
    const { state } = this;
    const { env, shard } = state.context;
    state.view = view;
    state.sealedEpoch = Math.max(state.sealedEpoch, view.epoch);
    state.exists = true;
    state.viewChangeReason = "";
    if (isMember) state.role = "member";
    env.log(1401, { shard, epoch: view.epoch, lead: view.lead, members: view.members });
  }
  private startLeader(view: ShardView, mayStartAt: number): void {
    const { state, leadership, leader } = this;
    const { env, selfId, shard } = state.context;
    if (view.lead === selfId && state.role === "member" && !state.viewChangeReason) {
      if (state.sealedEpochOfProcess !== view.epoch) {
        state.viewChangeReason = "lead was restarted before it began";
        return;
      }
      state.role = "starting";
      leadership.mayStartAt = mayStartAt;
      Csp.go(env.scope, `leader of shard ${shard}`, () => leader.run(view));
    } else if (state.role === "starting") {
      // The view first arrived in a control snapshot, which doesn't tell when the former leader's lease ends.
      leadership.mayStartAt = Math.min(leadership.mayStartAt, mayStartAt);
      Csp.offer(leadership.wake, true);
    }
  }
}
