/** Operations on the ledger and on sealed segments. */
import { OperationContext, OperationOf, PutOutcome } from "./shardTypes";

/** Ledger entries; a source that counts its entries adds each once. */
export function addNotes({ data, note }: OperationContext, op: OperationOf<"note">): PutOutcome {
  if (op.once && (data.notedSources[op.once.source] ?? -1) >= op.once.index)
    return { tag: "exists", same: true, state: "noted" };
  if (op.once) data.notedSources[op.once.source] = op.once.index;
  for (const entry of op.entries) note(entry.subject, entry.decision, entry.cause);
  return { tag: "done" };
}

/** Sealed segments below a number are let go. */
export function trimSegments({ data, note }: OperationContext, op: OperationOf<"trim">): PutOutcome {
  if (data.trimmedCounts[op.kind] >= op.below || op.below > data.segmentCounts[op.kind])
    return { tag: "no", why: "nothing to trim" };
  data.trimmedCounts[op.kind] = op.below;
  note(`shard ${op.kind}`, op.detail);
  return { tag: "done" };
}
