import { Constants } from "../common/constants";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { ShardView } from "../controlState/shardView";
import { Node } from "../node/node";
import { Environment } from "../runtime/env";
import { ShardReplicaStatus } from "../shard/shardReplica";
import { StoreStatuses } from "./storeStatuses";

/** A leader that does not lead is given so long before its shard gets a new view, ms. */
const IDLE_LEADER_MS = 1500;

/** Decides whether a shard needs a new view because of a fault or a shutdown. */
export class ViewChangeTrigger {
  /** Since when the leader of a shard has not led, our monotonic clock, ms. */
  private readonly idleSince = new Map<number, number>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
  ) {}

  /** Why the shard needs a new view, for the ledger; undefined if it needs none. @example trigger.reasonFor(view) */
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
      this.leaderReportReason(view) ?? (this.wasInterrupted(view) ? "an earlier change of view was not finished" : idle)
    );
  }

  private isLost(id: string): boolean {
    const member = this.node.membership.find(id);
    if (!member) return this.env.monotonicMs() - this.group.leaderSince > Constants.storeDiscoveryAfterElectionMs;
    return member.state === "dead" || member.state === "left";
  }

  /** The leader's replica, as far as it reports about this very view. */
  private leaderReplica({ shard, epoch, lead: leader }: ShardView): ShardReplicaStatus | undefined {
    const replica = this.statuses.isUp(leader) ? this.statuses.replica(leader, shard) : undefined;
    return replica?.epoch === epoch ? replica : undefined;
  }

  /** What the leader reports about its view: members that do not sync, or its own wish for another view. */
  private leaderReportReason(view: ShardView): string | undefined {
    const replica = this.leaderReplica(view);
    const failing = (replica?.failing ?? []).filter((id) => view.members.includes(id));
    if (failing.length > 0) return `members not syncing: ${failing.join(", ")}`;
    return replica?.wantsView ? `lead asks: ${replica.wantsView}` : undefined;
  }

  /** A member is sealed for a later epoch than the view's: a view change began and was not finished. */
  private wasInterrupted({ shard, epoch, members }: ShardView): boolean {
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
