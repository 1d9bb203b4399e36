/** Operations on the ledger and on retention. */
import type { OperationContext } from "./operationContext";
import type { OperationOf, PutOutcome } from "./operations";

/** Adds ledger entries. Entries of a source that numbers them are deduplicated. */
export function addLedgerEntries({ data, addLedgerEntry }: OperationContext, op: OperationOf<"note">): PutOutcome {
  if (op.once && (data.notedSources[op.once.source] ?? -1) >= op.once.index)
    return { tag: "exists", same: true, state: "noted" };
  if (op.once) data.notedSources[op.once.source] = op.once.index;
  for (const entry of op.entries) addLedgerEntry(entry.subject, entry.decision, entry.cause);
  return { tag: "done" };
}

/** Trims the segments with a smaller number than the given one. Their files are removed later. */
export function trimSegments({ data, addLedgerEntry }: OperationContext, op: OperationOf<"trim">): PutOutcome {
  if (data.trimmedCounts[op.kind] >= op.below || op.below > data.segmentCounts[op.kind])
    return { tag: "no", why: "nothing to trim" };
  data.trimmedCounts[op.kind] = op.below;
  addLedgerEntry(`shard ${op.kind}`, op.detail);
  return { tag: "done" };
}
