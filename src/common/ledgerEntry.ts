/** Entries of the ledger: the decisions of a cluster, in the order of their stamps. */
import type { Stamp } from "./stamp";

/** Why a decision was made: the versions of what it rests on. Stored; the field names never change. */
export interface Cause {
  /** Name of the policy that decided. */
  policy?: string;
  /** Version of the configuration that was in force. */
  manifest?: number;
  /** Epoch of the shard's view. */
  view?: number;
  /** Free text for operators. */
  note?: string;
}

/** One decision. Stored; the field names never change. */
export interface LedgerEntry {
  stamp: Stamp;
  /** Position among the entries of the same put, from 0. */
  n: number;
  /** What the decision is about, for example "lot L1" or "item L1/3". */
  subject: string;
  decision: string;
  cause: Cause;
}
