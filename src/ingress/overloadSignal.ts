import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";

/** The shortest time between two signals for the same pool. */
const minIntervalMs = 200;

/**
 * Tells the storage nodes by gossip that live requests wait for a pool, so that they hold back its batch items.
 *
 * @example
 * const overload = new OverloadSignal(env, "ingress-1", (key, value, leaseMs) => link.publish(key, value, leaseMs));
 * overload.signal("model");
 */
export class OverloadSignal {
  private readonly signalledAt = new Map<string, number>();
  /** `publish` publishes a gossip fact that expires after leaseMs. */
  constructor(
    private readonly env: Environment,
    private readonly selfId: string,
    private readonly publish: (key: string, value: unknown, leaseMs: number) => void,
  ) {}

  /** Signals that requests wait for the pool; repeats within a short time are dropped. */
  signal(pool: string): void {
    const now = this.env.mono();
    if (now - (this.signalledAt.get(pool) ?? -Infinity) < minIntervalMs) return;
    this.signalledAt.set(pool, now);
    this.publish(`crowd/${this.selfId}/${pool}`, { pool }, Constants.jobOverloadHoldMs);
  }
}
