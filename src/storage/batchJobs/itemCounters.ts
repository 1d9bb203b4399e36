/** Counters of items that are whole requests. With the prefix `items_` the field names are metric names. */
export interface ItemCounters {
  /** Attempts started. */
  started: number;
  /** Items with a result. */
  done: number;
  /** Items that were abandoned. */
  abandoned: number;
  /** Attempts that did not run, or whose response was interrupted. */
  again: number;
  /** Attempts that failed. */
  failed: number;
  /** Attempts that resumed a stream. */
  resumed: number;
  /** Attempts that were aborted because their job had ended or another node leads its shard. */
  broken_off: number;
}

export const newItemCounters = (): ItemCounters => ({
  started: 0,
  done: 0,
  abandoned: 0,
  again: 0,
  failed: 0,
  resumed: 0,
  broken_off: 0,
});
