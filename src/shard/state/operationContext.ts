import type { Cause } from "../../common/ledgerEntry";
import type { Put, PutOutcome } from "./operations";
import type { ShardData, UnstablePut } from "./shardData";

/** Everything that an operation needs to be applied. */
export interface OperationContext {
  readonly data: ShardData;
  /** The put that the operation belongs to. */
  readonly put: Put;
  /** Adds a ledger entry. Its cause is that of the put if none is given. */
  readonly addLedgerEntry: (subject: string, decision: string, cause?: Cause) => void;
  /** Collects the ledger entries and results of the put until the frontier has passed its stamp. */
  readonly unstable: UnstablePut;
}

/** The outcome for a request or job whose id is already in a segment; undefined if it isn't. */
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
