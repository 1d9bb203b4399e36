import { Constants } from "../common/constants";
import { Gossip } from "../membership/gossip";
import { Membership } from "../membership/membership";
import { Environment } from "../runtime/env";
import { ClusterSnapshot, Endpoint } from "./clusterSnapshot";

/** A cached snapshot is rebuilt after this time even without a change, because leases expire with time alone. */
const MAX_AGE_MS = 250;

/** State of the node itself that a snapshot contains. */
export interface NodeHealth {
  isCurrent(): boolean;
  isClockTrusted(): boolean;
}

/** Returns the newest instance of each endpoint; an address belongs to the newest instance that uses it. */
function newestInstances(endpoints: Endpoint[]): Endpoint[] {
  return newestBy(
    newestBy(endpoints, (endpoint) => endpoint.id),
    (endpoint) => endpoint.address,
  );
}

function newestBy(endpoints: Endpoint[], keyOf: (endpoint: Endpoint) => string): Endpoint[] {
  const newest = new Map<string, Endpoint>();
  for (const endpoint of endpoints)
    if ((newest.get(keyOf(endpoint))?.bornAt ?? -1) < endpoint.bornAt) newest.set(keyOf(endpoint), endpoint);
  return [...newest.values()];
}

/** Builds the cluster snapshot from gossip and membership, and caches it until something changes. */
export class ClusterSnapshotCache {
  private cached: ClusterSnapshot | undefined;
  private builtAt = -Infinity;
  private lastRevision = 0;

  constructor(
    private readonly env: Environment,
    private readonly gossip: Gossip,
    private readonly membership: Membership,
    private readonly health: NodeHealth,
  ) {}

  /** Makes the next call of `get` build a new snapshot. */
  invalidate(): void {
    this.cached = undefined;
  }

  /** Returns the same object until something has changed. */
  get(): ClusterSnapshot {
    const now = this.env.monotonicMs();
    const clockTrusted = this.health.isClockTrusted();
    const { cached } = this;
    if (
      cached &&
      now - this.builtAt < MAX_AGE_MS &&
      cached.clockTrusted === clockTrusted &&
      cached.isCurrent === this.health.isCurrent()
    )
      return cached;
    this.builtAt = now;
    this.lastRevision += 1;
    this.cached = {
      revision: this.lastRevision,
      control: this.gossip.snapshot,
      members: this.membership.alive(),
      endpoints: newestInstances(this.liveEndpoints()),
      overloadedPools: this.overloadedPools(),
      isCurrent: this.health.isCurrent(),
      clockTrusted,
    };
    return this.cached;
  }

  private liveEndpoints(): Endpoint[] {
    return this.gossip.live("replica/").map((fact) => ({
      key: fact.key,
      ...(fact.value as Omit<Endpoint, "key">),
      ...(this.gossip.ageMs(fact.key) > Constants.announcementOverdueMs ? { quiet: true } : {}),
    }));
  }

  private overloadedPools(): Record<string, boolean> {
    const overloaded: Record<string, boolean> = {};
    for (const fact of this.gossip.live("crowd/"))
      if (this.gossip.ageMs(fact.key) < Constants.jobOverloadHoldMs)
        overloaded[(fact.value as { pool: string }).pool] = true;
    return overloaded;
  }
}
