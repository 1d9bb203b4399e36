/** Input of the voter selection, as the leader sees it now. */
export interface VoterSituation {
  /** Id of the leader, which never removes itself. */
  self: string;
  /** Number of voters that the group should have. */
  wanted: number;
  /** Voters named by the last committed entry that lists voters. */
  committed: readonly string[];
  /** Voters named by the last entry that lists voters, committed or not. */
  latest: readonly string[];
  /** Voters that have certainly lost their disk, because another node uses their address. */
  diskLost: readonly string[];
  /** Voters that have been dead, gone or unable to write for so long that others should replace them. */
  unavailable: readonly string[];
  /** Live nodes that hold nearly the whole log and are not voters, best first. */
  standbys: readonly string[];
  /** Returns the number of log entries that a voter lacks. */
  lag(id: string): number;
}

/**
 * Selects the next voters: at most one differs from the committed ones, and nothing is selected while a change is not
 * committed. The leader evaluates these pure functions periodically. Changing one voter at a time ensures that any two
 * majorities overlap (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
 *
 * @example
 * const next = VoterSelection.next(situation);
 * if (next) yield* group.propose({ tag: "voters", voters: next }, 1500);
 */
export const VoterSelection = {
  /** Returns whether a change of voters is not committed yet. */
  isPending: ({ committed, latest }: VoterSituation): boolean =>
    committed.length !== latest.length || committed.some((id) => !latest.includes(id)),

  /**
   * Returns the next voters, or undefined if they should stay as they are. A lost voter is removed before its successor
   * is added: the removal of a voter that does not respond never makes a majority harder to reach, whereas an
   * additional voter can, if the successor is lost too. A voter without its disk is removed at once. A voter that
   * merely does not respond, or cannot write, stays until a standby can replace it, since its disk may still be needed.
   */
  next(situation: VoterSituation): string[] | undefined {
    if (VoterSelection.isPending(situation)) return undefined;
    const { committed, wanted, standbys } = situation;
    const removed = VoterSelection.toRemove(situation);
    if (removed !== undefined) return committed.filter((id) => id !== removed);
    if (committed.length < wanted && standbys.length > 0) return [...committed, standbys[0]];
    return undefined;
  },

  /** Returns the voter to remove now, if any. */
  toRemove({ self, committed, wanted, diskLost, unavailable, standbys, lag }: VoterSituation): string | undefined {
    const others = committed.filter((id) => id !== self);
    const withoutDisk = others.find((id) => diskLost.includes(id));
    if (withoutDisk !== undefined) return withoutDisk;
    const unresponsive = others.find((id) => unavailable.includes(id));
    const isSurplus = committed.length > wanted;
    const isReplaceable = committed.length - 1 + standbys.length >= wanted;
    if (unresponsive !== undefined && (isSurplus || isReplaceable)) return unresponsive;
    if (!isSurplus) return undefined;
    return [...others].sort((left, right) => lag(right) - lag(left))[0];
  },
};
