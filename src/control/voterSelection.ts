/** What the lead knows of its group when it looks whether the voters have to change. */
export type VoterSituation = {
  /** The lead itself: it is never left out by its own choice. */
  self: string;
  /** How many voters the tolerated losses ask for. */
  wanted: number;
  /** Voters of the newest committed entry. */
  committed: readonly string[];
  /** Voters of the newest entry, committed or not. */
  newest: readonly string[];
  /** Voters whose disk is gone for sure: another node answers at their address. */
  emptied: readonly string[];
  /** Voters that have been silent, or have left, for so long that another should stand in. */
  gone: readonly string[];
  /** Nodes that are alive, hold the log nearly to its end and are no voters, best first. */
  standbys: readonly string[];
  /** How many entries a voter is behind. */
  lag(id: string): number;
};

/**
 * Which voters the group should have next: at most one differs from the committed ones, and nothing is chosen while a
 * change is not committed. Pure functions; the control lead asks them again and again.
 *
 * @example
 * const next = VoterChoice.next(situation);
 * if (next) yield* group.propose({ tag: "voters", voters: next }, 1500);
 */
export const VoterSelection = {
  /** Whether a change of voters is on its way: its outcome is waited for. @example VoterChoice.isPending(situation) */
  isPending: ({ committed, newest }: VoterSituation): boolean =>
    committed.length !== newest.length || committed.some((id) => !newest.includes(id)),

  /**
   * A lost voter is left out before its successor is taken in: leaving out one that does not answer never makes a
   * majority harder to reach, whereas one voter more can, if the successor is lost too. One whose disk is gone is left
   * out at once; one that is merely silent stays until a standby is at hand, since its disk may yet be needed.
   * @example VoterChoice.next(situation)
   */
  next(situation: VoterSituation): string[] | undefined {
    if (VoterSelection.isPending(situation)) return undefined;
    const { committed, wanted, standbys } = situation;
    const without = (left: string): string[] => committed.filter((id) => id !== left);
    const leaving = VoterSelection.leaving(situation);
    if (leaving !== undefined) return without(leaving);
    if (committed.length < wanted && standbys.length > 0) return [...committed, standbys[0]];
    return undefined;
  },

  /** The voter to be left out now, if any. @example VoterChoice.leaving(situation) */
  leaving({ self, committed, wanted, emptied, gone, standbys, lag }: VoterSituation): string | undefined {
    const others = committed.filter((id) => id !== self);
    const lost = others.find((id) => emptied.includes(id));
    if (lost !== undefined) return lost;
    const silent = others.find((id) => gone.includes(id));
    const surplus = committed.length > wanted;
    const replaceable = committed.length - 1 + standbys.length >= wanted;
    if (silent !== undefined && (surplus || replaceable)) return silent;
    if (!surplus) return undefined;
    return [...others].sort((left, right) => lag(right) - lag(left))[0];
  },
};
