import { Constants } from "../../common/constants";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { Environment } from "../../runtime/env";

/** An overload is announced again after this long at the earliest, ms. */
const ANNOUNCE_PAUSE_MS = 200;

/**
 * How many items under a claim this node may execute in each pool: grows by one a pass while live requests find
 * capacity, and falls to the minimum at once when one has to wait, here or on another node.
 *
 * @example
 * window.update("model", snapshot);
 * if (inFlight < window.sizeOf("model")) startNextItem();
 */
export class ClaimedItemWindow {
  private readonly sizes = new Map<string, number>();
  private readonly overloadedAt = new Map<string, number>();

  constructor(
    private readonly env: Environment,
    private readonly node: Node,
  ) {}

  /** Live requests wait for the pool: the window closes, and the other nodes are notified. */
  reportOverload(pool: string): void {
    const now = this.env.monotonicMs();
    if (now - this.lastOverload(pool) > ANNOUNCE_PAUSE_MS)
      this.node.gossip.publish(`crowd/${this.node.self.id}/${pool}`, { pool }, Constants.jobOverloadHoldMs, true);
    this.overloadedAt.set(pool, now);
    this.sizes.set(pool, 0);
  }

  /** One scheduling pass has come. */
  update(pool: string, snapshot: ClusterSnapshot): void {
    const isOverloaded =
      snapshot.overloadedPools[pool] || this.env.monotonicMs() - this.lastOverload(pool) < Constants.jobOverloadHoldMs;
    const grown = Math.min(Constants.jobWindowMax, this.sizeOf(pool) + 1);
    this.sizes.set(pool, isOverloaded ? Constants.jobWindowMin : grown);
  }

  /** Items in flight at most. */
  sizeOf(pool: string): number {
    return this.sizes.get(pool) ?? 0;
  }

  private lastOverload(pool: string): number {
    return this.overloadedAt.get(pool) ?? -Infinity;
  }
}
