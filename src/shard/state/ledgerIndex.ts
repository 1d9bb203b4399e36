import { Stamp } from "../../common/stamp";
import { firstIndex } from "./binarySearch";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { ShardData } from "./shardData";

/**
 * Searches the time index: the ledger entries up to the frontier, in the order of their stamps. It contains only
 * entries that aren't sealed yet.
 */
export const LedgerIndex = {
  /** Index of the first entry whose stamp is greater. */
  firstAfter: (data: ShardData, stamp: Stamp): number =>
    firstIndex(0, data.ledger.length, (index) => Stamp.compare(data.ledger[index].stamp, stamp) > 0),

  /**
   * Temporal read (Birman et al. 2026, section 2.9): the nearest version in the stable prefix that is not prior to τ.
   * That is the version at τ, or else the first later one; undefined if there is none yet.
   *
   * @param time τ: wall-clock time, ms
   */
  nearest(data: ShardData, subject: string, time: number): LedgerEntry | undefined {
    const first = firstIndex(0, data.ledger.length, (index) => data.ledger[index].stamp.time >= time);
    for (let index = first; index < data.ledger.length; index += 1)
      if (data.ledger[index].subject === subject) return data.ledger[index];
    return undefined;
  },
};
