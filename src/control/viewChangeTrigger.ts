import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ShardView } from "../controlState/shardView";
import { Node } from "../node/node";
import { Environment } from "../runtime/env";
import { ShardReplicaStatus } from "../shard/shardReplica";
import { StoreStatuses } from "./storeStatuses";

/** Time after which a shard gets a new view because its designated leader does not act as leader, ms. */
const IDLE_LEADER_MS = 1500;

/** Decides whether a shard needs a new view because of a fault or a shutdown of a member. */
export class ViewChangeTrigger {
  /** Time since which the designated leader of a shard has not led, by this node's monotonic clock, ms. */
  private readonly idleSince = new Map<number, number>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
  ) {}

  /** Returns the reason for a new view of the shard, as recorded in the ledger, or undefined if it needs none. */
  reasonFor(view: ShardView): string | undefined {
    const { members, lead: leader } = view;
    const idle = this.idleLeaderReason(view);
    const lost = members.filter((id) => this.isLost(id));
    if (lost.length > 0) return `members gone: ${lost.join(", ")}`;
    if (this.statuses.isLeaderSilent(view)) return `lead silent, by control and the other members: ${leader}`;
    const broken = members.filter((id) => this.statuses.replica(id, view.shard)?.broken);
    if (broken.length > 0) return `disk failed at ${broken.join(", ")}`;
    const stopping = members.filter((id) => this.statuses.find(id)?.isStopping && this.statuses.isUp(id));
    if (stopping.length > 0) return `members leaving: ${stopping.join(", ")}`;
    return (
      this.leaderReportReason(view) ??
      (this.wasViewChangeInterrupted(view) ? "an earlier change of view was not finished" : idle)
    );
  }

  private isLost(id: string): boolean {
    const member = this.node.membership.find(id);
    if (!member) return this.env.monotonicMs() - this.group.leaderSince > Constants.storeDiscoveryAfterElectionMs;
    return member.state === "dead" || member.state === "left";
  }

  /** Returns the status of the leader's replica, if its report is about this view. */
  private leaderReplica({ shard, epoch, lead: leader }: ShardView): ShardReplicaStatus | undefined {
    const replica = this.statuses.isUp(leader) ? this.statuses.replica(leader, shard) : undefined;
    return replica?.epoch === epoch ? replica : undefined;
  }

  /** Returns a reason from the leader's report: members that do not sync, or its own request for another view. */
  private leaderReportReason(view: ShardView): string | undefined {
    const replica = this.leaderReplica(view);
    const failing = (replica?.failing ?? []).filter((id) => view.members.includes(id));
    if (failing.length > 0) return `members not syncing: ${failing.join(", ")}`;
    return replica?.wantsView ? `lead asks: ${replica.wantsView}` : undefined;
  }

  /**
   * Returns whether a member is sealed for a later epoch than that of the view, so that an earlier change was not
   * finished.
   */
  private wasViewChangeInterrupted({ shard, epoch, members }: ShardView): boolean {
    return members.some((id) => this.statuses.isUp(id) && (this.statuses.replica(id, shard)?.sealed ?? 0) > epoch);
  }

  private idleLeaderReason(view: ShardView): string | undefined {
    const { shard, lead: leader } = view;
    const mayNotLead = this.statuses.isUp(leader) && !this.statuses.find(leader)?.mayLead;
    if (!mayNotLead && !this.isLeaderIdle(view)) {
      this.idleSince.delete(shard);
      return undefined;
    }
    const now = this.env.monotonicMs();
    const since = this.idleSince.get(shard) ?? now;
    this.idleSince.set(shard, since);
    if (now - since <= IDLE_LEADER_MS) return undefined;
    return mayNotLead ? "lead's clock is not vouched for" : "lead does not lead";
  }

  private isLeaderIdle({ shard, epoch, lead: leader }: ShardView): boolean {
    if (!this.statuses.isUp(leader)) return false;
    const replica = this.statuses.replica(leader, shard);
    return replica === undefined || replica.epoch < epoch || (replica.role !== "lead" && replica.role !== "starting");
  }
}
