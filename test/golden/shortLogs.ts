import { Constants } from "../../src/common/constants";

/** Short logs, so that a small run leaves snapshots, logs and segments. */
const maxLogEntries = { group: 15, shard: 30 };
const LEDGER_SEGMENT_ENTRIES = 16;

/** Runs `body` with logs that are folded into a snapshot early, and small segments. */
export async function withShortLogs<T>(body: () => Promise<T>): Promise<T> {
  const limits = Constants as { logEntriesUntilSnapshot: number; shardLogMaxEntries: number };
  const segments = Constants.segmentObjects as { ledger: number };
  const originalLimits = { ...limits };
  limits.logEntriesUntilSnapshot = maxLogEntries.group;
  limits.shardLogMaxEntries = maxLogEntries.shard;
  Object.assign(segments, Constants.simSegmentObjects);
  segments.ledger = LEDGER_SEGMENT_ENTRIES;
  try {
    return await body();
  } finally {
    Object.assign(segments, Constants.simSegmentObjects);
    limits.logEntriesUntilSnapshot = originalLimits.logEntriesUntilSnapshot;
    limits.shardLogMaxEntries = originalLimits.shardLogMaxEntries;
  }
}
