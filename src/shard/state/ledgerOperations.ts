/** Operations on the ledger and its retention. */
import type { OperationContext } from "./operationContext";
import type { OperationOf, PutOutcome } from "./operations";

/** Adds ledger entries; those of a source that numbers its entries are deduplicated. */
export function addLedgerEntries({ data, note }: OperationContext, op: OperationOf<"note">): PutOutcome {
  if (op.once && (data.notedSources[op.once.source] ?? -1) >= op.once.index)
    return { tag: "exists", same: true, state: "noted" };
  if (op.once) data.notedSources[op.once.source] = op.once.index;
  for (const entry of op.entries) note(entry.subject, entry.decision, entry.cause);
  return { tag: "done" };
}

/** Trims segments with a number below the given one; their files are removed later. */
export function trimSegments({ data, note }: OperationContext, op: OperationOf<"trim">): PutOutcome {
  if (data.trimmedCounts[op.kind] >= op.below || op.below > data.segmentCounts[op.kind])
    return { tag: "no", why: "nothing to trim" };
  data.trimmedCounts[op.kind] = op.below;
  note(`shard ${op.kind}`, op.detail);
  return { tag: "done" };
}
