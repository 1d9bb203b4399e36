import { Constants } from "../../common/constants";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { Environment } from "../../runtime/env";

/** Minimum time between two announcements of an overload, ms. */
const ANNOUNCEMENT_PERIOD_MIN_MS = 200;

/**
 * The number of items under a claim that this node may execute in each pool at once. The window grows by one in each
 * scheduling pass while live requests find capacity. It closes as soon as a live request waits on this node, and is at
 * its minimum while live requests wait on any node.
 */
export class ClaimedItemWindow {
  private readonly sizes = new Map<string, number>();
  private readonly overloadedAt = new Map<string, number>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /** Closes the window because live requests wait for the pool, and notifies the other nodes. */
  reportOverload(pool: string): void {
    const now = this.env.monotonicMs();
    if (now - this.lastOverloadAt(pool) > ANNOUNCEMENT_PERIOD_MIN_MS)
      this.node.gossip.publish(`crowd/${this.node.self.id}/${pool}`, { pool }, Constants.jobOverloadHoldMs, true);
    this.overloadedAt.set(pool, now);
    this.sizes.set(pool, 0);
  }

  /** Adapts the window in a scheduling pass. */
  update(pool: string, snapshot: ClusterSnapshot): void {
    const isOverloaded =
      snapshot.overloadedPools[pool] ||
      this.env.monotonicMs() - this.lastOverloadAt(pool) < Constants.jobOverloadHoldMs;
    const grownSize = Math.min(Constants.jobWindowMax, this.sizeOf(pool) + 1);
    this.sizes.set(pool, isOverloaded ? Constants.jobWindowMin : grownSize);
  }

  /** Maximum number of items in flight. */
  sizeOf(pool: string): number {
    return this.sizes.get(pool) ?? 0;
  }

  private lastOverloadAt(pool: string): number {
    return this.overloadedAt.get(pool) ?? -Infinity;
  }
}
