import type { Cause } from "../../common/ledgerEntry";
import type { Put, PutOutcome } from "./operations";
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

/** The outcome of a submission whose object is closed and sealed already; undefined if it isn't. */
export function sealedOutcome(
  { sealedObjects }: ShardData,
  kind: "works" | "lots",
  id: string,
  bodyHash: string,
): PutOutcome | undefined {
  const sealed = sealedObjects.find(kind, id);
  if (!sealed) return undefined;
  const state = sealed.trimmed ? "trimmed" : sealed.state;
  return { tag: "exists", same: sealedObjects.hasSameBody(sealed, bodyHash), state };
}
