/** Entries of the ledger: the decisions of a cluster, in the order of their timestamps. */
import type { Stamp } from "./stamp";

/**
 * Reason for a decision: the versions of the data that it is based on. It is stored, so the field names never change.
 */
export interface Cause {
  /** Name of the policy behind the decision. */
  policy?: string;
  /** Version of the configuration that was in force. */
  manifest?: number;
  /** Epoch of the shard's view. */
  view?: number;
  /** Free text for operators. */
  note?: string;
}

/** One decision. It is stored, so the field names never change. */
export interface LedgerEntry {
  stamp: Stamp;
  /** Position among the entries of the same put, from 0. */
  n: number;
  /** The subject of the decision, for example "lot L1" or "item L1/3". */
  subject: string;
  decision: string;
  cause: Cause;
}
