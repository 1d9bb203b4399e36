import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import type { Task } from "../../runtime/csp";
import { firstIndex } from "../state/binarySearch";
import type { LedgerEntry } from "../../common/ledgerEntry";
import { SegmentFormat } from "./segmentFormat";
import type { SegmentIndex } from "./segmentTypes";
import { SubjectFilter } from "./subjectFilter";

/** Access to the ledger segments of a segment store. */
export interface LedgerSegments {
  /** Returns the indexes of the ledger segments, by segment number. */
  indexes(): SegmentIndex[];
  /** Returns the number of the first segment that isn't trimmed. */
  firstNumber(): number;
  /** Reads the encoded entries of a segment. */
  readBody(number: number): Task<Result<Buffer>>;
}

/** Reads the ledger entries that are sealed in segments. All faults come from the disk. */
export class SealedLedger {
  constructor(private readonly segments: LedgerSegments) {}

  /** Stamp of the oldest entry that isn't trimmed. */
  oldestStamp = (): Stamp | undefined => this.segments.indexes()[this.segments.firstNumber()]?.first;

  /**
   * Reads entries after a stamp, oldest first: at least `minCount` if there are as many. Entries of one put stay
   * together. `all` is true if no segment is left to read.
   */
  *after(after: Stamp, minCount: number): Task<Result<{ entries: LedgerEntry[]; all: boolean }>> {
    const found: LedgerEntry[] = [];
    const needsMore = (): boolean =>
      found.length <= minCount || Stamp.compare(found[found.length - 1].stamp, found[minCount - 1].stamp) === 0;
    let number = this.firstSegmentAfter(after);
    for (; number < this.segments.indexes().length && needsMore(); number += 1) {
      const entries = yield* this.read(number);
      if (!entries.ok) return entries;
      for (const entry of entries.value) if (Stamp.compare(entry.stamp, after) > 0) found.push(entry);
    }
    return Fault.ok({ entries: found, all: number >= this.segments.indexes().length });
  }

  /**
   * Reads the entries that match from those segments whose subject filter may contain one of the names. Stops reading
   * segments once `minCount` entries are found.
   *
   * @param from ms; segments with only older entries are skipped
   */
  *about(
    names: string[],
    from: number,
    matches: (entry: LedgerEntry) => boolean,
    minCount: number,
  ): Task<Result<LedgerEntry[]>> {
    const found: LedgerEntry[] = [];
    let number = this.firstSegmentAfter({ time: from, node: "", seq: -1 });
    for (; number < this.segments.indexes().length && found.length < minCount; number += 1) {
      if (!SubjectFilter.mayContain(this.segments.indexes()[number].subjects!, names)) continue;
      const entries = yield* this.read(number);
      if (!entries.ok) return entries;
      found.push(...entries.value.filter(matches));
    }
    return Fault.ok(found);
  }

  private firstSegmentAfter(after: Stamp): number {
    const indexes = this.segments.indexes();
    return firstIndex(
      this.segments.firstNumber(),
      indexes.length,
      (number) => Stamp.compare(indexes[number].last!, after) > 0,
    );
  }
  private *read(number: number): Task<Result<LedgerEntry[]>> {
    const body = yield* this.segments.readBody(number);
    return body.ok ? Fault.ok(SegmentFormat.decodeObjects("ledger", body.value)) : body;
  }
}
