import { Constants } from "../../common/constants";
import type { Fault } from "../../common/fault";
import { Chan, Csp } from "../../runtime/csp";
import { PutQueue } from "./putQueue";
import type { ReplicaState } from "./replicaState";

/**
 * Whether this replica leads its shard: its role, the leases that the other members have granted it, and which of them
 * fail. Every other member grants the lease, so that one sealed member is enough to end it, and no member outside the
 * view is needed to keep it.
 */
export class Leadership {
  readonly puts = new PutQueue();
  /** Signals puts to order, and the end of the leadership. */
  readonly wake: Chan<true> = Csp.sliding(1);
  /** The former leader's lease has ended by then, monotonic ms. */
  mayStartAt = 0;
  /** By member, until when its lease counts here, monotonic ms. */
  private readonly leaseEnds = new Map<string, number>();
  /** By member, since when it has not synced what it was sent, monotonic ms. */
  private readonly failingSince = new Map<string, number>();
  /** By member, whether it said that its disk is nearly full. */
  private readonly lowDisks = new Map<string, boolean>();

  constructor(private readonly state: ReplicaState) {}

  /** Whether this replica leads right now. @example if (!leadership.holdsLease()) return notLead; */
  holdsLease(): boolean {
    const now = this.state.context.env.monotonicMs();
    return this.state.role === "lead" && this.state.otherMembers().every((id) => this.leaseEnd(id) > now);
  }
  /** Until when a member's lease counts, monotonic ms; 0 for none. @example leadership.leaseEnd("node-2") */
  leaseEnd(id: string): number {
    return this.leaseEnds.get(id) ?? 0;
  }
  /** Whether this replica leads, or starts to lead, the view of an epoch. @example if (!leadership.isLeaderOf(epoch)) return; */
  isLeaderOf(epoch: number): boolean {
    const { role, view } = this.state;
    return (role === "lead" || role === "starting") && view?.epoch === epoch;
  }
  /** Forgets what is known of the members, before a new leadership. @example leadership.reset(); */
  reset(): void {
    this.failingSince.clear();
    this.leaseEnds.clear();
  }

  /**
   * Ends the leadership, if there is one: all puts get a fault.
   *
   * @param reason for the log, the faults and control
   * @param isViewChanging control is already changing the view, and need not be called
   * @example leadership.stop("newer view");
   */
  stop(reason: string, isViewChanging = false): void {
    const { state } = this;
    if (state.role !== "lead" && state.role !== "starting") return;
    const { env, hooks, selfId, shard } = state.context;
    env.log(1412, { shard, epoch: state.view?.epoch, why: reason });
    state.role = state.isDiskBroken ? "out" : "member";
    this.leaseEnds.clear();
    this.puts.failAll(selfId, reason);
    state.viewChangeReason = reason;
    if (!isViewChanging) hooks.viewChangeNeeded();
    Csp.offer(this.wake, true);
    hooks.leadershipStopped();
  }

  /** A member synced what it was sent; its lease counts from the sending on. @example leadership.memberSynced(id, sentAt); */
  memberSynced(id: string, sentAt: number): void {
    this.leaseEnds.set(id, sentAt + Constants.shardLeaseMs - Constants.shardLeaseMarginMs);
    this.failingSince.delete(id);
  }
  /** A member reported whether its disk is nearly full. @example leadership.diskReported(id, response.lowDisk); */
  diskReported(id: string, isLow: boolean): void {
    this.lowDisks.set(id, isLow);
  }
  /**
   * A member did not sync what it was sent. One that takes no connection is almost certainly down: half of the time
   * after which it counts as silent is taken as passed.
   * @example leadership.memberFailed(id, sentAt, response.fault);
   */
  memberFailed(id: string, sentAt: number, fault?: Fault): void {
    const since = fault?.tag === "refused" ? sentAt - Constants.memberTimeoutMs / 2 : sentAt;
    if (!this.failingSince.has(id)) this.failingSince.set(id, since);
  }
  /** A member's disk failed: it counts as silent at once. @example leadership.memberDiskFailed(id); */
  memberDiskFailed(id: string): void {
    this.failingSince.set(id, -Infinity);
  }
  /** Members that have not synced for too long. @example leadership.silentMembers() */
  silentMembers(): string[] {
    const now = this.state.context.env.monotonicMs();
    return [...this.failingSince].filter(([, since]) => now - since > Constants.memberTimeoutMs).map(([id]) => id);
  }
  /** Whether the disk of any member is nearly full. @example if (leadership.isAnyDiskLow()) return busy; */
  isAnyDiskLow(): boolean {
    return this.state.isDiskLow || [...this.lowDisks.values()].some((isLow) => isLow);
  }

  /** Since when the leader was not heard by this member, ms. @example leadership.leaderSilenceMs() */
  leaderSilenceMs(): number {
    return this.state.context.env.monotonicMs() - (this.state.grantedLeaseEnd - Constants.shardLeaseMs);
  }
  /** Whether a view change seems to be called for. @example if (leadership.needsViewChange()) hooks.viewChangeNeeded(); */
  needsViewChange(): boolean {
    const { state } = this;
    if (state.role === "lead") return this.silentMembers().length > 0;
    const isFollower = state.role === "member" && state.isMember;
    return isFollower && (state.viewChangeReason !== "" || this.leaderSilenceMs() > Constants.leaderTimeoutMs);
  }
}
