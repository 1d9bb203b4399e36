import { Constants } from "../../src/common/constants";

/** Log lengths that are small enough for a short run to write snapshots, logs and segments. */
const maxLogEntries = { group: 15, shard: 30 };
const LEDGER_SEGMENT_ENTRIES = 16;

/** Runs `action` with early snapshots of the logs and with small segments. */
export async function withShortLogs<T>(action: () => Promise<T>): Promise<T> {
  const limits = Constants as { logEntriesUntilSnapshot: number; shardLogMaxEntries: number };
  const segments = Constants.segmentObjects as { ledger: number };
  const originalLimits = { ...limits };
  limits.logEntriesUntilSnapshot = maxLogEntries.group;
  limits.shardLogMaxEntries = maxLogEntries.shard;
  Object.assign(segments, Constants.simSegmentObjects);
  segments.ledger = LEDGER_SEGMENT_ENTRIES;
  try {
    return await action();
  } finally {
    Object.assign(segments, Constants.simSegmentObjects);
    limits.logEntriesUntilSnapshot = originalLimits.logEntriesUntilSnapshot;
    limits.shardLogMaxEntries = originalLimits.shardLogMaxEntries;
  }
}
