import { ConsensusGroup } from "../consensus/consensusGroup";
import type { RetireOperation } from "../controlState/calendarEntry";
import type { ShardView } from "../controlState/shardView";
import { Member } from "../membership/member";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { StoreSelection } from "./storeSelection";
import { StoreStatuses } from "./storeStatuses";

/** The storage node to retire: its id, and the name of its machine if the order gave that. */
export type RetiredStore = Pick<RetireOperation, "store" | "name">;

/** Checks whether a storage node can retire, and whether its retirement is complete. */
export class StoreRetirement {
  /** @param replicationFactor number of replicas that each shard needs on other machines */
  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
    private readonly selection: StoreSelection,
    readonly replicationFactor: number,
  ) {}

  /**
   * Returns whether the storage node can be removed together with its disk, according to what the storage nodes report
   * now: the node holds no replica, and every shard has all its replicas intact on other machines.
   */
  *confirmComplete(retired: RetiredStore): Task<boolean> {
    yield* this.statuses.poll();
    return this.group.hasLeaderLease() && this.isComplete(retired);
  }

  private isComplete(retired: RetiredStore): boolean {
    return Object.values(this.group.state.views).every(
      (view) =>
        !view.members.some((id) => this.isOnRetiredMachine(id, retired)) &&
        this.countIntactMachines(view) >= this.replicationFactor,
    );
  }

  private isOnRetiredMachine(id: string, { store, name }: RetiredStore): boolean {
    return id === store || (name !== undefined && this.node.membership.find(id)?.name === name);
  }

  /** Returns the number of machines that hold an intact replica of the view. */
  private countIntactMachines(view: ShardView): number {
    const intact = view.members.filter((id) => this.isIntact(view, id));
    return new Set(intact.map((id) => this.node.addressOf(id))).size;
  }

  /**
   * A replica is intact if its node responds and will stay, and if its working disk holds everything that the view
   * acknowledged.
   */
  private isIntact(view: ShardView, id: string): boolean {
    const replica = this.statuses.replica(id, view.shard);
    const leaderReplica = this.statuses.replica(view.lead, view.shard);
    return (
      this.statuses.isUp(id) &&
      this.statuses.isResponsive(id) &&
      !this.selection.isRetiring(id) &&
      !this.statuses.find(id)?.isStopping &&
      replica !== undefined &&
      replica.epoch === view.epoch &&
      (replica.role === "lead" || replica.role === "member") &&
      !replica.broken &&
      !leaderReplica?.failing.includes(id)
    );
  }

  /** Returns why the storage node cannot retire now, or undefined if it can. */
  retirementBlocker(store: string): string | undefined {
    if (this.node.membership.find(store)?.program !== "store") return `no store ${store}`;
    const remaining = this.node.membership
      .alive("store")
      .filter(({ id }) => id !== store && this.statuses.isUp(id) && !this.selection.isRetiring(id));
    if (remaining.length >= this.replicationFactor) return undefined;
    return `too few stores would stay: ${remaining.length}, needed ${this.replicationFactor}`;
  }

  /**
   * Returns the number of machines with a storage node that would remain without this one. Machines that are briefly
   * down count.
   */
  countRemainingMachines(store: Member): number {
    const remaining = this.node.membership
      .all()
      .filter(
        (member) =>
          member.program === "store" &&
          member.state !== "left" &&
          member.id !== store.id &&
          member.address !== store.address &&
          !this.selection.isRetiring(member.id),
      );
    return new Set(remaining.map((member) => member.address)).size;
  }
}
