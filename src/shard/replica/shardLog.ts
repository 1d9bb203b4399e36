import { Constants } from "../../common/constants";
import type { Put } from "../state/operations";

/** One entry of a shard's log. Stored and sent; the field names never change. */
export interface ShardLogEntry {
  /** Position in the log, starting at 1. */
  seq: number;
  /** Epoch of the view whose leader ordered the entry. */
  epoch: number;
  /** The leader's frontier at the time it ordered the entry: wall-clock time, ms. */
  frontier: number;
  puts: Put[];
}

/** The end of a log. */
export interface LogPosition {
  /** Position of the last entry; 0 for an empty log. */
  seq: number;
  /** Epoch of that entry. */
  lastEpoch: number;
}

/**
 * The last entries of a shard's log, in memory. They are sent to replicas whose logs are shorter.
 *
 * @example
 * log.append([{ seq: log.lastSeq + 1, epoch, frontier, puts }]);
 * log.epochAt(log.lastSeq) // epoch
 */
export class ShardLog {
  lastSeq = 0;
  lastEpoch = 0;
  /** Entries appended since the last snapshot was written. */
  entriesSinceSnapshot = 0;
  /** The entries in memory; the last one is at `lastSeq`. */
  private tail: ShardLogEntry[] = [];

  /** Position of the first entry in memory, or of the next entry if there is none. */
  get firstSeq(): number {
    return this.tail[0]?.seq ?? this.lastSeq + 1;
  }

  /** Appends entries that follow the last one. */
  append(entries: ShardLogEntry[]): void {
    for (const entry of entries) {
      this.tail.push(entry);
      this.lastSeq = entry.seq;
      this.lastEpoch = entry.epoch;
    }
    if (this.tail.length > Constants.shardLogMaxEntries)
      this.tail.splice(0, this.tail.length - Constants.shardLogMaxEntries);
    this.entriesSinceSnapshot += entries.length;
  }
  /** Clears the entries. The log then continues after a snapshot that ends at this position and epoch. */
  reset(lastSeq: number, lastEpoch: number): void {
    this.lastSeq = lastSeq;
    this.lastEpoch = lastEpoch;
    this.tail = [];
  }
  /** Epoch of the entry at a position; undefined if it is unknown. */
  epochAt(seq: number): number | undefined {
    if (seq === this.lastSeq) return this.lastEpoch;
    if (seq === 0) return 0;
    const first = this.tail[0];
    return first && seq >= first.seq ? this.tail[seq - first.seq]?.epoch : undefined;
  }
  /** Entries in memory after a position, at most `limit`. */
  entriesAfter(seq: number, limit = Infinity): ShardLogEntry[] {
    const start = Math.max(0, seq + 1 - this.firstSeq);
    return this.tail.slice(start, start + limit);
  }
  /** Whether a log with this end can be extended by entries in memory. */
  canExtend({ seq, lastEpoch }: LogPosition): boolean {
    return (
      seq > 0 &&
      seq <= this.lastSeq &&
      this.epochAt(seq) === lastEpoch &&
      (seq === this.lastSeq || this.firstSeq <= seq + 1)
    );
  }
}
