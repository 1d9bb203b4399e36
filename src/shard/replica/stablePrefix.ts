import { Stamp } from "../../common/stamp";
import type { Leadership } from "./leadership";
import type { ReplicaState } from "./replicaState";

/** Distance that the frontier keeps before the stamp of a queued put or one in flight, ms. */
const PUT_MARGIN_MS = 0.001;

/**
 * The temporal stability frontier (Birman et al. 2026, section 2.9). Puts with a stamp up to the frontier are stable
 * and are read in the order of their stamps. The leader advances the frontier and publishes it with every entry and
 * lease renewal.
 */
export class StablePrefix {
  /**
   * The greatest frontier that a leader may have published. Puts with a stamp up to it are rejected. Wall-clock time,
   * ms.
   */
  published = 0;

  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
  ) {}

  /**
   * Starts a leadership. The former leader may have published a frontier as late as the end of its lease, so this one
   * starts at the current time, plus δ.
   */
  startLeading(): void {
    const { env, hooks } = this.state.context;
    this.published = Math.max(this.state.data.frontier, env.wallClockMs() + hooks.bounds().deltaMs);
  }
  /**
   * At the leader: advances the frontier to Δ + 2δ + ε before the current time, but not past queued puts or puts in
   * flight.
   */
  advance(): void {
    const { env, hooks } = this.state.context;
    if (this.state.role !== "lead" || !hooks.isClockTrusted()) return;
    let candidate = env.wallClockMs() - Stamp.delay(hooks.bounds());
    for (const time of this.leadership.puts.stampTimes()) candidate = Math.min(candidate, time - PUT_MARGIN_MS);
    if (candidate > this.published) this.published = candidate;
    this.state.advanceFrontier(this.published);
  }
  /** The time up to which this replica can serve temporal reads: wall-clock time, ms. */
  frontier(): number {
    this.advance();
    return this.state.data.frontier;
  }
}
