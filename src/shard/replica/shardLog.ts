import { Constants } from "../../common/constants";
import type { Put } from "../state/operations";

/** One entry of a shard's log. Stored and sent; the field names never change. */
export interface ShardLogEntry {
  /** Position in the log, from 1. */
  seq: number;
  /** Epoch of the view whose leader ordered it. */
  epoch: number;
  /** The leader's frontier as it ordered the entry: wall time, ms. */
  frontier: number;
  puts: Put[];
}

/** Where a log ends. */
export interface LogPosition {
  /** Position of the last entry; 0 for an empty log. */
  seq: number;
  /** Epoch of that entry. */
  lastEpoch: number;
}

/**
 * The end of a shard's log, in memory: the last entries, from which others catch up.
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
  /** The last entries; the last of them is at `lastSeq`. */
  private tail: ShardLogEntry[] = [];

  /** Position of the first entry in memory. */
  get firstSeq(): number {
    return this.tail[0]?.seq ?? this.lastSeq + 1;
  }

  /** Adds entries that follow the last one. @example log.append([entry]); */
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
  /** Starts anew behind a snapshot. @example log.reset(snapshot.seq, snapshot.lastEpoch); */
  reset(lastSeq: number, lastEpoch: number): void {
    this.lastSeq = lastSeq;
    this.lastEpoch = lastEpoch;
    this.tail = [];
  }
  /** Epoch of the entry at a position; undefined if it isn't in memory. @example log.epochAt(100) */
  epochAt(seq: number): number | undefined {
    if (seq === this.lastSeq) return this.lastEpoch;
    if (seq === 0) return 0;
    const first = this.tail[0];
    return first && seq >= first.seq ? this.tail[seq - first.seq]?.epoch : undefined;
  }
  /** Entries in memory behind a position, at most so many. @example log.entriesAfter(100, 200) */
  entriesAfter(seq: number, limit = Infinity): ShardLogEntry[] {
    const start = Math.max(0, seq + 1 - this.firstSeq);
    return this.tail.slice(start, start + limit);
  }
  /** Whether a log that ends there can be extended by entries in memory. @example log.canExtend({ seq: 100, lastEpoch: 3 }) */
  canExtend({ seq, lastEpoch }: LogPosition): boolean {
    return (
      seq > 0 &&
      seq <= this.lastSeq &&
      this.epochAt(seq) === lastEpoch &&
      (seq === this.lastSeq || this.firstSeq <= seq + 1)
    );
  }
}
