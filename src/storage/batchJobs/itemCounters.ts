/** Counters of items that are whole requests; with the prefix `items_` their names are names of metrics. */
export interface ItemCounters {
  /** Attempts started. */
  started: number;
  /** Items with a result. */
  done: number;
  /** Items given up. */
  abandoned: number;
  /** Attempts that did not run, or whose response broke off. */
  again: number;
  /** Attempts that failed. */
  failed: number;
  /** Attempts that continued a stream. */
  resumed: number;
  /** Attempts aborted because their job had ended. */
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
