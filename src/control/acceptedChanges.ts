import { Constants } from "../common/constants";
import { Hash } from "../common/hash";

/**
 * The changes of one document that were accepted, oldest first: the version that each was made against, and a digest of
 * its id. A change is accepted only against the current version, so that each entry's result is the next one's base.
 */
export type AcceptedChanges = { bases: number[]; digests: string[] };
export type Verdict = "accepted" | "lost" | "forgotten";

/** 60 bits: two changes made against one version are not mistaken for each other. */
const digestOf = (changeId: string): string => Hash.text(changeId).slice(0, Constants.changeDigestLength);
/** Where a version stands among the bases, which rise. */
function indexOf(bases: number[], version: number): number {
  let [low, high] = [0, bases.length];
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (bases[middle] < version) low = middle + 1;
    else high = middle;
  }
  return bases[low] === version ? low : -1;
}

/**
 * Which change won each version. A resend is known by it long after the outcomes kept by id are forgotten, and losers need
 * no memory at all.
 *
 * @example
 * AcceptedChanges.add(accepted, 7, "change-1f");
 * AcceptedChanges.verdict(accepted, 7, "change-1f"); // "accepted"
 */
export const AcceptedChanges = {
  empty: (): AcceptedChanges => ({ bases: [], digests: [] }),
  /** @example AcceptedChanges.add(accepted, 7, "change-1f"); */
  add(accepted: AcceptedChanges, base: number, changeId: string): void {
    accepted.bases.push(base);
    accepted.digests.push(digestOf(changeId));
    const surplus = accepted.bases.length - Constants.acceptedKept;
    if (surplus <= 0) return;
    accepted.bases.splice(0, surplus);
    accepted.digests.splice(0, surplus);
  },
  /** What became of a change against a version that is no longer current. @example AcceptedChanges.verdict(accepted, 7, "change-2a") // "lost" */
  verdict(accepted: AcceptedChanges, base: number, changeId: string): Verdict {
    if (accepted.bases.length === 0 || base < accepted.bases[0]) return "forgotten";
    const at = indexOf(accepted.bases, base);
    return at >= 0 && accepted.digests[at] === digestOf(changeId) ? "accepted" : "lost";
  },
  /** The version that an accepted change made. @example AcceptedChanges.result(accepted, 7, 9) */
  result: (accepted: AcceptedChanges, base: number, current: number): number =>
    accepted.bases[indexOf(accepted.bases, base) + 1] ?? current,
};
