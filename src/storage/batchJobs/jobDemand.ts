import { Constants } from "../../common/constants";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { Environment } from "../../runtime/env";
import { OpenJobs } from "./openJobs";

/** An announced demand is replaced when it has changed by this share. */
const SIGNIFICANT_CHANGE = 1 / 4;

/** What a storage node announces to the others. */
interface AnnouncedDemand {
  /** Items that wait or run. */
  items: number;
}

/**
 * Shares the capacity for batch items among the storage nodes by what each has to run. Nodes announce their demand by
 * gossip, so the shares agree only roughly; an endpoint that is full rejects what is too much.
 *
 * @example
 * demand.announce();
 * const share = demand.share(snapshot);
 */
export class JobDemand {
  private announced = { items: 0, at: -Infinity };

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly openJobs: OpenJobs,
  ) {}

  /** Announces the demand if it has changed or its announcement runs out; a small demand isn't worth a message. */
  announce(): void {
    const now = this.env.monotonicMs();
    const items = this.ownItems();
    const ageMs = now - this.announced.at;
    const hasChanged = Math.abs(items - this.announced.items) > this.announced.items * SIGNIFICANT_CHANGE;
    const isDue = hasChanged || ageMs > Constants.jobDemandLeaseMs / 2;
    if (items < Constants.jobDemandItems || !isDue || ageMs < Constants.jobDemandPeriodMs) return;
    this.announced = { items, at: now };
    this.node.gossip.publish(this.gossipKey(), { items }, Constants.jobDemandLeaseMs, true);
  }

  /** This node's share, from 0 to 1: that of the announced demand, and at least that of the shards that it leads. */
  share(snapshot: ClusterSnapshot): number {
    const views = Object.values(snapshot.control?.views ?? {});
    const ledViews = views.filter((view) => view.lead === this.node.self.id);
    const shareOfShards = ledViews.length / Math.max(1, views.length);
    const own = this.ownItems();
    const shareOfDemand = own === 0 ? 0 : own / (own + this.itemsOfOthers());
    return Math.max(shareOfShards, shareOfDemand);
  }

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
