import { Constants } from "../../common/constants";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { Environment } from "../../runtime/env";
import { OpenJobs } from "./openJobs";

/** The demand is announced again when it differs from the announced one by more than this ratio. */
const ANNOUNCED_CHANGE_MIN = 1 / 4;

/** The demand that a storage node announces by gossip. */
interface AnnouncedDemand {
  /** Number of items that wait or run. */
  items: number;
}

/**
 * Divides the capacity for batch items among the storage nodes in proportion to the number of items that each has to
 * run. Nodes announce their demand by gossip, so the shares agree only approximately; a full endpoint rejects excess
 * items.
 */
export class JobDemand {
  private announced = { items: 0, at: -Infinity };

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly openJobs: OpenJobs,
  ) {}

  /** Announces the demand if it has changed or its announcement is about to expire. A small demand is not announced. */
  announce(): void {
    const now = this.env.monotonicMs();
    const items = this.ownItems();
    const ageMs = now - this.announced.at;
    const hasChanged = Math.abs(items - this.announced.items) > this.announced.items * ANNOUNCED_CHANGE_MIN;
    const isDue = hasChanged || ageMs > Constants.jobDemandLeaseMs / 2;
    if (items < Constants.jobDemandItems || !isDue || ageMs < Constants.jobDemandPeriodMs) return;
    this.announced = { items, at: now };
    this.node.gossip.publish(this.gossipKey(), { items }, Constants.jobDemandLeaseMs, true);
  }

  /** This node's share, from 0 to 1: its share of the demand, and at least its share of the led shards. */
  share(snapshot: ClusterSnapshot): number {
    const views = Object.values(snapshot.control?.views ?? {});
    const ledViews = views.filter((view) => view.lead === this.node.self.id);
    const shareOfShards = ledViews.length / Math.max(1, views.length);
    const own = this.ownItems();
    const shareOfDemand = own === 0 ? 0 : own / (own + this.itemsOfOthers());
    return Math.max(shareOfShards, shareOfDemand);
  }

  /** Items that wait or run here; items in backoff do not count. */
  private ownItems(): number {
    let items = 0;
    for (const open of this.openJobs.all()) items += open.ready.length + open.running.size;
    return items;
  }

  private itemsOfOthers(): number {
    let items = 0;
    for (const { key, value } of this.node.gossip.live("lots/"))
      if (key !== this.gossipKey()) items += (value as AnnouncedDemand).items;
    return items;
  }

  private gossipKey = (): string => `lots/${this.node.self.id}`;
}
