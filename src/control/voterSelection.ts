/** What the selection of the next voters rests on, as the leader sees it now. */
export interface VoterSituation {
  /** The leader itself: it never removes itself. */
  self: string;
  /** How many voters the group should have. */
  wanted: number;
  /** Voters by the last committed entry that names them. */
  committed: readonly string[];
  /** Voters by the last entry that names them, committed or not. */
  latest: readonly string[];
  /** Voters that have certainly lost their disk: another node answers at their address. */
  diskLost: readonly string[];
  /** Voters that have been silent, or have left, for so long that another should replace them. */
  unavailable: readonly string[];
  /** Live nodes that hold nearly the whole log and are no voters, best first. */
  standbys: readonly string[];
  /** How many log entries a voter is behind. */
  lag(id: string): number;
}

/**
 * Selects the next voters: at most one differs from the committed ones, and nothing is selected while a change is not
 * committed. Pure functions, evaluated periodically by the leader. One change at a time is what keeps any two majorities
 * overlapping (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
 *
 * @example
 * const next = VoterSelection.next(situation);
 * if (next) yield* group.propose({ tag: "voters", voters: next }, 1500);
 */
export const VoterSelection = {
  /** Whether a change of voters is not committed yet. @example VoterSelection.isPending(situation) */
  isPending: ({ committed, latest }: VoterSituation): boolean =>
    committed.length !== latest.length || committed.some((id) => !latest.includes(id)),

  /**
   * The next voters, or undefined if they should stay as they are. A lost voter is removed before its successor is
   * added: removing one that does not answer never makes a majority harder to reach, whereas one voter more can, if the
   * successor is lost too. A voter without its disk is removed at once; one that is merely silent stays until a standby
   * can replace it, since its disk may still be needed.
   * @example VoterSelection.next(situation)
   */
  next(situation: VoterSituation): string[] | undefined {
    if (VoterSelection.isPending(situation)) return undefined;
    const { committed, wanted, standbys } = situation;
    const removed = VoterSelection.toRemove(situation);
    if (removed !== undefined) return committed.filter((id) => id !== removed);
    if (committed.length < wanted && standbys.length > 0) return [...committed, standbys[0]];
    return undefined;
  },

  /** The voter to remove now, if any. @example VoterSelection.toRemove(situation) */
  toRemove({ self, committed, wanted, diskLost, unavailable, standbys, lag }: VoterSituation): string | undefined {
    const others = committed.filter((id) => id !== self);
    const withoutDisk = others.find((id) => diskLost.includes(id));
    if (withoutDisk !== undefined) return withoutDisk;
    const silent = others.find((id) => unavailable.includes(id));
    const isSurplus = committed.length > wanted;
    const isReplaceable = committed.length - 1 + standbys.length >= wanted;
    if (silent !== undefined && (isSurplus || isReplaceable)) return silent;
    if (!isSurplus) return undefined;
    return [...others].sort((left, right) => lag(right) - lag(left))[0];
  },
};
