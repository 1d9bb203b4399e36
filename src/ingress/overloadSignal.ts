import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";

/** The shortest time between two signals for the same pool, in ms. */
const MIN_INTERVAL_MS = 200;

/**
 * Notifies the storage nodes by gossip that live requests are waiting for a pool, so that they hold back its batch items.
 */
export class OverloadSignal {
  private readonly lastSignalAt = new Map<string, number>();
  /** `publish` publishes a gossip fact that expires after leaseMs. */
  constructor(
    private readonly env: Environment,
    private readonly selfId: string,
    private readonly publish: (key: string, value: unknown, leaseMs: number) => void,
  ) {}

  /** Signals that requests are waiting for the pool; repeats within the minimum interval are dropped. */
  signal(pool: string): void {
    const now = this.env.monotonicMs();
    if (now - (this.lastSignalAt.get(pool) ?? -Infinity) < MIN_INTERVAL_MS) return;
    this.lastSignalAt.set(pool, now);
    this.publish(`crowd/${this.selfId}/${pool}`, { pool }, Constants.jobOverloadHoldMs);
  }
}
