/** Bloom filter of the names by which the entries of a ledger segment can be looked up. */
import { Constants } from "../../common/constants";
import { Hash } from "../../common/hash";
import type { LedgerEntry } from "../../common/ledgerEntry";

const HASH_COUNT = 4;
const MIN_BYTES = 8;

/**
 * Names under which an entry is found: its subject, the job of an item ("item L1" for "item L1/3"), a change in its
 * note.
 */
function namesOf(entry: LedgerEntry): string[] {
  const slash = entry.subject.lastIndexOf("/");
  const change = /^change (\S+) /.exec(entry.cause.note ?? "");
  const names = [entry.subject];
  if (slash > 0) names.push(entry.subject.slice(0, slash));
  if (change) names.push(`change ${change[1]}`);
  return names;
}

const bitsOf = (name: string, bitCount: number): number[] =>
  Array.from({ length: HASH_COUNT }, (_each, hashIndex) => Hash.number(`${hashIndex}|${name}`) % bitCount);

/**
 * Builds and queries subject filters. Their encoding is stored in the index of a segment and must not change.
 *
 * @example
 * const filter = SubjectFilter.of(entries);
 * SubjectFilter.mayContain(filter, ["lot L1"]) // false: no entry is about it
 */
export const SubjectFilter = {
  /** Builds the filter of the entries, base64. */
  of(entries: LedgerEntry[]): string {
    const names = new Set(entries.flatMap(namesOf));
    const filter = Buffer.alloc(Math.max(MIN_BYTES, Math.ceil((names.size * Constants.bloomBitsPerSubject) / 8)));
    for (const name of names) for (const bit of bitsOf(name, filter.length * 8)) filter[bit >> 3] |= 1 << (bit & 7);
    return filter.toString("base64");
  },
  /** Returns false only if none of the names was added; true can be a false positive. */
  mayContain(encoded: string, names: string[]): boolean {
    const filter = Buffer.from(encoded, "base64");
    return names.some((name) =>
      bitsOf(name, filter.length * 8).every((bit) => (filter[bit >> 3] & (1 << (bit & 7))) !== 0),
    );
  },
};
