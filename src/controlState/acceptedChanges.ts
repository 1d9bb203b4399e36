import { Constants } from "../common/constants";
import { Hash } from "../common/hash";

/**
 * The accepted changes of one document, oldest first: the version that each was made against, and a digest of its id. A
 * change is accepted only against the current version, so the result of each entry is the base of the next.
 */
export interface AcceptedChanges {
  /** Versions that the changes were made against; they rise. */
  bases: number[];
  /** Digests of the change ids, in the same order. */
  digests: string[];
}

/** What became of a change: accepted, lost against another one, or older than what is remembered. */
export type AcceptedChangeVerdict = "accepted" | "lost" | "forgotten";

/** 60 bits, so that two changes made against one version are not mistaken for each other. */
const digestOf = (changeId: string): string => Hash.text(changeId).slice(0, Constants.changeDigestLength);

/** Index of a version among the bases, by binary search; -1 where it is not there. */
function indexOf(bases: number[], version: number): number {
  let low = 0;
  let high = bases.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (bases[middle] < version) low = middle + 1;
    else high = middle;
  }
  return bases[low] === version ? low : -1;
}

/**
 * Which change made each version of a document. A retry is recognized by it long after the outcomes by change id are
 * dropped, and changes that lost need no memory at all.
 *
 * @example
 * AcceptedChanges.add(accepted, 7, "change-1f");
 * AcceptedChanges.verdict(accepted, 7, "change-1f"); // "accepted"
 */
export const AcceptedChanges = {
  /** @example const accepted = AcceptedChanges.empty(); */
  empty: (): AcceptedChanges => ({ bases: [], digests: [] }),

  /** Remembers an accepted change, and drops the oldest past the limit. @example AcceptedChanges.add(accepted, 7, "change-1f"); */
  add(accepted: AcceptedChanges, base: number, changeId: string): void {
    accepted.bases.push(base);
    accepted.digests.push(digestOf(changeId));
    const surplus = accepted.bases.length - Constants.acceptedChangesRetained;
    if (surplus <= 0) return;
    accepted.bases.splice(0, surplus);
    accepted.digests.splice(0, surplus);
  },

  /** What became of a change against a version that is no longer current. @example AcceptedChanges.verdict(accepted, 7, "change-2a") // "lost" */
  verdict(accepted: AcceptedChanges, base: number, changeId: string): AcceptedChangeVerdict {
    if (accepted.bases.length === 0 || base < accepted.bases[0]) return "forgotten";
    const index = indexOf(accepted.bases, base);
    return index >= 0 && accepted.digests[index] === digestOf(changeId) ? "accepted" : "lost";
  },

  /** The version that an accepted change made. @example AcceptedChanges.result(accepted, 7, 9) */
  result: (accepted: AcceptedChanges, base: number, current: number): number =>
    accepted.bases[indexOf(accepted.bases, base) + 1] ?? current,
};
