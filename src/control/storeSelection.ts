import { Hash } from "../common/hash";
import { ConsensusGroup } from "../consensus/consensusGroup";
import { CalendarEntryState } from "../controlState/calendarEntry";
import type { ShardView } from "../controlState/shardView";
import { Member } from "../membership/member";
import { Node } from "../node/node";
import { StoreStatuses } from "./storeStatuses";

/** Ranking cost of a zone that already holds a replica. It is meant to outweigh any number of replicas on a node. */
const SHARED_ZONE_COST = 1000;
const REPLICA_COST = 10;

/** Selects storage nodes for replicas by zone, replica count and rendezvous hashing. */
export class StoreSelection {
  /**
   * First views that are being proposed, by shard. They are proposed concurrently, so each must take the others into
   * account.
   */
  private readonly proposedFirstViews = new Map<number, ShardView>();

  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
  ) {}

  /** Counts a proposed first view as if it were in force, until it is removed. */
  addProposedView(view: ShardView): void {
    this.proposedFirstViews.set(view.shard, view);
  }

  removeProposedView(shard: number): void {
    this.proposedFirstViews.delete(shard);
  }

  private views(): ShardView[] {
    const { views } = this.group.state;
    const proposed = [...this.proposedFirstViews.values()].filter((view) => !views[view.shard]);
    return [...Object.values(views), ...proposed];
  }

  /** Returns the number of replicas on a storage node. */
  replicaCount(id: string): number {
    return this.views().filter((view) => view.members.includes(id)).length;
  }

  /** Returns the number of shards that a storage node leads. */
  leaderCount(id: string): number {
    return this.views().filter((view) => view.lead === id).length;
  }

  /**
   * Returns whether a retirement applies to the storage node: by its id or, while the retirement lasts, by the name of
   * its machine, since a machine that lost its disk has a new id.
   */
  isRetiring(id: string): boolean {
    const { retiring, calendar } = this.group.state;
    if (retiring.length === 0) return false;
    if (retiring.includes(id)) return true;
    const machine = this.node.membership.find(id)?.name;
    if (machine === undefined) return false;
    return Object.values(calendar).some(
      ({ move, fate: state }) =>
        move.kind === "retire" && state === CalendarEntryState.started && move.name === machine,
    );
  }

  /** Returns the storage nodes that can take another replica of the shard, best first. */
  candidates(shard: number, members: string[]): Member[] {
    const stores = this.node.membership.alive("store");
    const zones = new Set(members.map((id) => this.node.membership.find(id)?.district));
    const hashOrder = Hash.rendezvous(
      `shard-${shard}`,
      stores.map((store) => store.id),
    );
    const cost = (store: Member): number =>
      (zones.has(store.district) ? SHARED_ZONE_COST : 0) +
      this.replicaCount(store.id) * REPLICA_COST +
      hashOrder.indexOf(store.id);
    return stores
      .filter((store) => !members.includes(store.id) && this.canTakeReplica(store.id, shard))
      .sort((left, right) => cost(left) - cost(right));
  }

  private canTakeReplica(id: string, shard: number): boolean {
    const status = this.statuses.find(id);
    return (
      status !== undefined &&
      this.statuses.isUp(id) &&
      this.statuses.isResponsive(id) &&
      !this.isRetiring(id) &&
      !status.isStopping &&
      status.mayLead &&
      !this.statuses.replica(id, shard)?.broken
    );
  }
}
