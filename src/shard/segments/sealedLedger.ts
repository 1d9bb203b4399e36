import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import type { Task } from "../../runtime/csp";
import { firstIndex } from "../state/binarySearch";
import type { LedgerEntry } from "../../common/ledgerEntry";
import { SegmentFormat } from "./segmentFormat";
import type { SegmentIndex } from "./segmentTypes";
import { SubjectFilter } from "./subjectFilter";

/** What the sealed ledger needs of the segment store. */
export interface LedgerSegments {
  /** Indexes of the ledger's segments, by number. */
  indexes(): SegmentIndex[];
  /** Number of the first segment that isn't trimmed. */
  firstNumber(): number;
  readBody(number: number): Task<Result<Buffer>>;
}

/**
 * Reads of the ledger entries in segments. All faults are those of the disk.
 *
 * @example
 * const read = yield* segments.ledger.after(stamp, 100);
 */
export class SealedLedger {
  constructor(private readonly segments: LedgerSegments) {}

  /** Stamp of the oldest entry that isn't trimmed. @example segments.ledger.oldestStamp()?.time */
  oldestStamp = (): Stamp | undefined => this.segments.indexes()[this.segments.firstNumber()]?.first;

  /**
   * Entries after a stamp, oldest first: at least `minCount`, and further ones of the same put; or all there are.
   * @example yield* segments.ledger.after(stamp, 100)
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
   * Entries that match, out of the segments that may be about one of the names; no further segment is read once
   * `minCount` are found.
   *
   * @param from ms; older segments are left out
   * @example yield* segments.ledger.about(["lot L1"], 0, (entry) => entry.subject === "lot L1", 500)
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
