import { Constants } from "../common/constants";
import { Hash } from "../common/hash";

/**
 * The accepted changes of one document, oldest first: the version that each was made against, and a digest of its id. A
 * change is accepted only against the current version, so the version that each entry made is the base of the next.
 */
export interface AcceptedChanges {
  /** Versions that the changes were made against, ascending. */
  bases: number[];
  /** Digests of the change ids, in the same order. */
  digests: string[];
}

/** Outcome of a change: accepted, superseded by another change, or older than the retained history. */
export type AcceptedChangeVerdict = "accepted" | "lost" | "forgotten";

/** The digest has 60 bits, so that two changes made against one version are not confused. */
const digestOf = (changeId: string): string => Hash.text(changeId).slice(0, Constants.changeDigestLength);

/** Returns the index of a version among the bases by binary search, or -1 if it is absent. */
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
 * Records which change made each version of a document. A retry is recognized by this long after the outcomes by change
 * id are dropped, and rejected changes need not be stored at all.
 *
 * @example
 * AcceptedChanges.add(accepted, 7, "change-1f");
 * AcceptedChanges.verdict(accepted, 7, "change-1f"); // "accepted"
 */
export const AcceptedChanges = {
  empty: (): AcceptedChanges => ({ bases: [], digests: [] }),

  /** Adds an accepted change, and drops the oldest changes beyond the limit. */
  add(accepted: AcceptedChanges, base: number, changeId: string): void {
    accepted.bases.push(base);
    accepted.digests.push(digestOf(changeId));
    const surplus = accepted.bases.length - Constants.acceptedChangesRetained;
    if (surplus <= 0) return;
    accepted.bases.splice(0, surplus);
    accepted.digests.splice(0, surplus);
  },

  /** Returns the outcome of a change against a version that is no longer current. */
  verdict(accepted: AcceptedChanges, base: number, changeId: string): AcceptedChangeVerdict {
    if (accepted.bases.length === 0 || base < accepted.bases[0]) return "forgotten";
    const index = indexOf(accepted.bases, base);
    return index >= 0 && accepted.digests[index] === digestOf(changeId) ? "accepted" : "lost";
  },

  /** Returns the version that an accepted change made. */
  result: (accepted: AcceptedChanges, base: number, current: number): number =>
    accepted.bases[indexOf(accepted.bases, base) + 1] ?? current,
};
