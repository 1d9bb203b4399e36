import { Environment } from "../runtime/env";

/**
 * The control snapshots that other members say they have, by their log index, and for how long this member has known of
 * one that is newer than its own.
 */
export class SnapshotAnnouncements {
  private readonly indexByAddress = new Map<string, number>();
  private highest = 0;
  /** Time of the first announcement of a snapshot newer than the current one, monotonic ms; undefined if none is. */
  private behindSince: number | undefined;

  constructor(private readonly env: Environment) {}

  /** Records the index that a member announced, and the index of this member's own snapshot. */
  record(address: string, index: number, ownIndex: number): void {
    this.indexByAddress.set(address, index);
    this.highest = Math.max(this.highest, index);
    if (index > ownIndex) this.behindSince ??= this.env.monotonicMs();
  }

  /**
   * Records that this member's own snapshot was replaced. Returns the time since a snapshot newer than the replaced one
   * was first announced, ms; 0 if none was.
   */
  adopted(ownIndex: number): number {
    const behindMs = this.behindMs();
    if (this.highest <= ownIndex) this.behindSince = undefined;
    return behindMs;
  }

  /** The highest index that was announced; 0 before the first announcement. */
  get highestIndex(): number {
    return this.highest;
  }

  /** Time for which this member has known of a snapshot newer than its own, ms; 0 if it knows of none. */
  behindMs(): number {
    return this.behindSince === undefined ? 0 : this.env.monotonicMs() - this.behindSince;
  }

  /** Returns the lowest index that the members at these addresses announced last; undefined if none of them did. */
  lowestIndex(addresses: readonly string[]): number | undefined {
    const indexes = addresses.flatMap((address) => this.indexByAddress.get(address) ?? []);
    return indexes.length > 0 ? Math.min(...indexes) : undefined;
  }

  /** Forgets a member that is no longer active. */
  forget(address: string): void {
    this.indexByAddress.delete(address);
  }
}
