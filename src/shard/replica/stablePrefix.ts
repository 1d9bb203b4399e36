import { Stamp } from "../../common/stamp";
import type { Leadership } from "./leadership";
import type { ReplicaState } from "./replicaState";

/** The frontier stays this far behind the stamp of a put under way, ms. */
const PUT_MARGIN_MS = 0.001;

/**
 * The temporal stability frontier (Birman et al. 2026, section 2.9): the prefix of the log before it is stable, and is
 * read in the order of the stamps. The leader advances it and publishes it with every entry and every lease renewal.
 */
export class StablePrefix {
  /** The greatest frontier that the leader may have published: puts behind it are refused. Wall time, ms. */
  published = 0;

  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
  ) {}

  /**
   * Begins a leadership: the former leader may have published as far as the end of its lease, so that this one begins
   * there, plus δ.
   * @example stablePrefix.startLeading();
   */
  startLeading(): void {
    const { env, hooks } = this.state.context;
    this.published = Math.max(this.state.data.frontier, env.wallClockMs() + hooks.bounds().deltaMs);
  }
  /** At the leader: advances to Δ + 2δ + ε into the past, held back by puts under way. @example stablePrefix.advance(); */
  advance(): void {
    const { env, hooks } = this.state.context;
    if (this.state.role !== "lead" || !hooks.isClockTrusted()) return;
    let candidate = env.wallClockMs() - Stamp.delay(hooks.bounds());
    for (const time of this.leadership.puts.stampTimes()) candidate = Math.min(candidate, time - PUT_MARGIN_MS);
    if (candidate > this.published) this.published = candidate;
    this.state.advanceFrontier(this.published);
  }
  /** How far temporal reads may go on this replica: wall time, ms. @example const upTo = stablePrefix.frontier(); */
  frontier(): number {
    this.advance();
    return this.state.data.frontier;
  }
}
