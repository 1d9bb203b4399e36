import { Stamp } from "../../common/stamp";
import { firstIndex } from "./binarySearch";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { ShardData } from "./shardData";

/**
 * Searches in the time index: the ledger entries behind the frontier, in the order of their stamps. Only entries that
 * aren't sealed yet.
 */
export const LedgerIndex = {
  /** Index of the first entry with a greater stamp. @example data.ledger.slice(LedgerIndex.firstAfter(data, stamp)) */
  firstAfter: (data: ShardData, stamp: Stamp): number =>
    firstIndex(0, data.ledger.length, (index) => Stamp.compare(data.ledger[index].stamp, stamp) > 0),

  /**
   * Temporal read (Birman et al. 2026, section 2.9): the nearest version not prior to τ out of the stable prefix.
   * An equal one is returned, between two the later one; undefined where there is none yet.
   *
   * @param time τ, ms
   * @example LedgerIndex.nearest(data, "lot L1", 1000)?.decision
   */
  nearest(data: ShardData, subject: string, time: number): LedgerEntry | undefined {
    const first = firstIndex(0, data.ledger.length, (index) => data.ledger[index].stamp.time >= time);
    for (let index = first; index < data.ledger.length; index += 1)
      if (data.ledger[index].subject === subject) return data.ledger[index];
    return undefined;
  },
};
