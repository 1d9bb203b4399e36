import type { Cause } from "../../common/ledgerEntry";
import type { Put } from "./operations";
import type { ShardData, UnstablePut } from "./shardData";

/** What an operation is applied with. */
export interface OperationContext {
  readonly data: ShardData;
  /** The put that the operation belongs to. */
  readonly put: Put;
  /** Adds a ledger entry; its cause is the put's where none is given. */
  readonly note: (subject: string, decision: string, cause?: Cause) => void;
  /** Where the put's ledger entries and results go until the frontier has passed it. */
  readonly unstable: UnstablePut;
}
