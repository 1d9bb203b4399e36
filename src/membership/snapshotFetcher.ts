import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";

/** Callbacks of the fetcher. */
export interface SnapshotFetcherHooks {
  /** Returns the log index of this member's own control snapshot. */
  ownIndex(): number;
  /** Fetches the snapshot of the member at the address, and adopts it if it is newer. */
  fetch(address: string): Task<void>;
  /** Called when this member knows of a newer snapshot, and no member that announced one could be fetched from. */
  sourcesExhausted(): void;
}

/**
 * Chooses the members to fetch a newer control snapshot from, among all that announced one. If a member has not responded
 * after `Constants.snapshotHedgeMs`, the snapshot is requested from the next one as well (hedged requests; Dean and
 * Barroso, "The Tail at Scale", 2013), so that a silent member delays no fetch from another.
 *
 * @example
 * const fetcher = new SnapshotFetcher(env, hooks);
 * fetcher.start();
 * fetcher.announced("10.0.0.4:7660", 17);
 */
export class SnapshotFetcher {
  /** Announced indexes by address, the latest announcement last. */
  private readonly sources = new Map<string, number>();
  /** Addresses of the fetches in progress. */
  private readonly pending = new Set<string>();
  private readonly fetchDue: Chan<true> = Csp.sliding(1);

  constructor(
    private readonly env: Environment,
    private readonly hooks: SnapshotFetcherHooks,
  ) {}

  /** Starts the task that fetches announced snapshots. */
  start(): void {
    EnvironmentTools.runSupervised(this.env, this.env.scope, "snapshot fetches", () => this.run());
  }

  /** Records that a member has a snapshot, which is fetched if it is newer. */
  announced(address: string, index: number): void {
    if (index <= this.hooks.ownIndex()) return;
    this.sources.delete(address);
    this.sources.set(address, index);
    Csp.offer(this.fetchDue, true);
  }

  private *run(): Task<void> {
    for (;;) {
      yield* Csp.take(this.fetchDue);
      for (let address = this.nextSource(); address !== undefined; address = this.nextSource())
        yield* EnvironmentTools.takeWithin(this.env, this.startFetch(address), Constants.snapshotHedgeMs);
    }
  }

  /** Returns the member that announced a newer snapshot last; undefined if there is none to request it from now. */
  private nextSource(): string | undefined {
    const ownIndex = this.hooks.ownIndex();
    for (const [address, index] of this.sources) if (index <= ownIndex) this.sources.delete(address);
    if (this.pending.size >= Constants.snapshotFetchesMax) return undefined;
    return [...this.sources.keys()].filter((address) => !this.pending.has(address)).at(-1);
  }

  /** Starts a fetch; the returned channel closes when it has ended. */
  private startFetch(address: string): Chan<true> {
    const ended = Csp.chan<true>(1);
    const fetcher = this;
    const indexBefore = this.hooks.ownIndex();
    this.pending.add(address);
    Csp.go(this.env.scope, "fetch control snapshot", function* () {
      try {
        yield* fetcher.hooks.fetch(address);
      } finally {
        ended.close();
        fetcher.fetchEnded(address, indexBefore);
      }
    });
    return ended;
  }

  /** Forgets a member that brought nothing newer; one that did may have announced a still newer snapshot meanwhile. */
  private fetchEnded(address: string, indexBefore: number): void {
    const ownIndex = this.hooks.ownIndex();
    const isBehind = (this.sources.get(address) ?? 0) > ownIndex;
    this.pending.delete(address);
    if (ownIndex === indexBefore) this.sources.delete(address);
    if (isBehind && this.sources.size === 0) this.hooks.sourcesExhausted();
    Csp.offer(this.fetchDue, true);
  }
}
