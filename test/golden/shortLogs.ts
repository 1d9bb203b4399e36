import { Constants } from "../../src/common/constants";

/** Short logs, so that a small run leaves snapshots, logs and segments. */
const shortLogEntries = { group: 15, shard: 30 };
const ledgerSegmentEntries = 16;

/** Runs `body` with logs that are folded into a snapshot early, and small segments. */
export async function withShortLogs<T>(body: () => Promise<T>): Promise<T> {
  const limits = Constants as { logEntriesUntilSnapshot: number; shardLogMaxEntries: number };
  const segments = Constants.segmentObjects as { ledger: number };
  const before = { ...limits };
  limits.logEntriesUntilSnapshot = shortLogEntries.group;
  limits.shardLogMaxEntries = shortLogEntries.shard;
  Object.assign(segments, Constants.simSegmentObjects);
  segments.ledger = ledgerSegmentEntries;
  try {
    return await body();
  } finally {
    Object.assign(segments, Constants.simSegmentObjects);
    limits.logEntriesUntilSnapshot = before.logEntriesUntilSnapshot;
    limits.shardLogMaxEntries = before.shardLogMaxEntries;
  }
}
