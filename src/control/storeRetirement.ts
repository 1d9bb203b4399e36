import { ConsensusGroup } from "../consensus/consensusGroup";
import type { RetireOperation } from "../controlState/calendarEntry";
import type { ShardView } from "../controlState/shardView";
import { Member } from "../membership/member";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { StoreSelection } from "./storeSelection";
import { StoreStatuses } from "./storeStatuses";

/** The storage node that a retirement is about: its id, and the name of its machine where the order named that. */
export type RetiredStore = Pick<RetireOperation, "store" | "name">;

/** Whether a storage node can retire, and whether its retirement is complete. */
export class StoreRetirement {
  /**
   * @param replicationFactor replicas that each shard needs on other machines
   */
  constructor(
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly statuses: StoreStatuses,
    private readonly selection: StoreSelection,
    readonly replicationFactor: number,
  ) {}

  /**
   * Whether the storage node can be removed together with its disk, by what the storage nodes report now: it holds no
   * replica, and every shard has all its replicas intact on other machines.
   * @example if (yield* retirement.confirmComplete(operation)) yield* finish();
   */
  *confirmComplete(retired: RetiredStore): Task<boolean> {
    yield* this.statuses.poll();
    return this.group.hasLeaderLease() && this.isComplete(retired);
  }

  private isComplete(retired: RetiredStore): boolean {
    return Object.values(this.group.state.views).every(
      (view) =>
        !view.members.some((id) => this.isOnRetiredMachine(id, retired)) &&
        this.intactMachines(view) >= this.replicationFactor,
    );
  }

  private isOnRetiredMachine(id: string, { store, name }: RetiredStore): boolean {
    return id === store || (name !== undefined && this.node.membership.find(id)?.name === name);
  }

  /** Machines that hold an intact replica of the view. */
  private intactMachines(view: ShardView): number {
    const intact = view.members.filter((id) => this.isIntact(view, id));
    return new Set(intact.map((id) => this.node.addressOf(id))).size;
  }

  /** A replica is intact if its node responds and stays, and it holds all that the view acknowledged on a working disk. */
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

  /** Why the storage node cannot retire now; undefined if it can. @example retirement.obstacleTo("store-3") */
  retirementBlocker(store: string): string | undefined {
    if (this.node.membership.find(store)?.program !== "store") return `no store ${store}`;
    const remaining = this.node.membership
      .alive("store")
      .filter(({ id }) => id !== store && this.statuses.isUp(id) && !this.selection.isRetiring(id));
    if (remaining.length >= this.replicationFactor) return undefined;
    return `too few stores would stay: ${remaining.length}, needed ${this.replicationFactor}`;
  }

  /**
   * Machines with a storage node that would remain without this one; those that are down for a moment count.
   * @example retirement.machinesWithout(member)
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
