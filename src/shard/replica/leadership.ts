import { Constants } from "../../common/constants";
import type { Fault } from "../../common/fault";
import { Chan, Csp } from "../../runtime/csp";
import { PutQueue } from "./putQueue";
import type { ReplicaState } from "./replicaState";

/**
 * Tracks whether this replica leads its shard: its role, the leases that the other members granted, and which members
 * fail. Every other member grants the lease. So sealing one member is enough to end the leadership, and no node outside
 * the view is needed to keep it.
 */
export class Leadership {
  readonly puts = new PutQueue();
  /** Signals that puts are queued, that `mayStartAt` changed, or that the leadership ended. */
  readonly wake: Chan<true> = Csp.sliding(1);
  /** Time at which the former leader's lease has certainly ended, monotonic ms. */
  mayStartAt = 0;
  /** By member, the time until which its lease is valid, monotonic ms. */
  private readonly leaseEnds = new Map<string, number>();
  /** By member, the time since which it has failed to sync what it was sent, monotonic ms. */
  private readonly failingSince = new Map<string, number>();
  /** By member, whether it reported that its disk is nearly full. */
  private readonly lowDisks = new Map<string, boolean>();

  constructor(private readonly state: ReplicaState) {}

  /** Whether this replica is the leader and holds an unexpired lease from every other member. */
  holdsLease(): boolean {
    const now = this.state.context.env.monotonicMs();
    return this.state.role === "lead" && this.state.otherMembers().every((id) => this.leaseEnd(id) > now);
  }
  /** The time until which a member's lease is valid, monotonic ms; 0 for none. */
  leaseEnd(id: string): number {
    return this.leaseEnds.get(id) ?? 0;
  }
  /** Whether this replica leads the view of an epoch, or is starting to. */
  isLeaderOf(epoch: number): boolean {
    const { role, view } = this.state;
    return (role === "lead" || role === "starting") && view?.epoch === epoch;
  }
  /** Clears the state of the members before a new leadership. */
  reset(): void {
    this.failingSince.clear();
    this.leaseEnds.clear();
  }

  /**
   * Ends the leadership, if there is one. All unfinished puts get a fault.
   *
   * @param reason text for the log, for the faults, and for the control group
   * @param isViewChanging whether the control group is already changing the view and need not be asked to
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

  /** Records that a member synced what it was sent. Its lease runs from the time of sending. */
  memberSynced(id: string, sentAt: number): void {
    this.leaseEnds.set(id, sentAt + Constants.shardLeaseMs - Constants.shardLeaseMarginMs);
    this.failingSince.delete(id);
  }
  /** Records whether a member's disk is nearly full. */
  diskReported(id: string, isLow: boolean): void {
    this.lowDisks.set(id, isLow);
  }
  /**
   * Records that a member did not sync what it was sent. One that refuses connections is almost certainly down, so half
   * of the time after which a member counts as silent is taken as elapsed.
   */
  memberFailed(id: string, sentAt: number, fault?: Fault): void {
    const since = fault?.tag === "refused" ? sentAt - Constants.memberTimeoutMs / 2 : sentAt;
    if (!this.failingSince.has(id)) this.failingSince.set(id, since);
  }
  /** Records that a member's disk failed. The member counts as silent at once. */
  memberDiskFailed(id: string): void {
    this.failingSince.set(id, -Infinity);
  }
  /** Members that have failed to sync for longer than `memberTimeoutMs`. */
  silentMembers(): string[] {
    const now = this.state.context.env.monotonicMs();
    return [...this.failingSince].filter(([, since]) => now - since > Constants.memberTimeoutMs).map(([id]) => id);
  }
  /** Whether the disk of any member is nearly full. */
  isAnyDiskLow(): boolean {
    return this.state.isDiskLow || [...this.lowDisks.values()].some((isLow) => isLow);
  }

  /** Time since this member last received entries or a renewal from the leader, ms. */
  leaderSilenceMs(): number {
    return this.state.context.env.monotonicMs() - (this.state.grantedLeaseEnd - Constants.shardLeaseMs);
  }
  /** Whether this replica has a reason to request a view change. */
  needsViewChange(): boolean {
    const { state } = this;
    if (state.role === "lead") return this.silentMembers().length > 0;
    const isFollower = state.role === "member" && state.isMember;
    return isFollower && (state.viewChangeReason !== "" || this.leaderSilenceMs() > Constants.leaderTimeoutMs);
  }
}
