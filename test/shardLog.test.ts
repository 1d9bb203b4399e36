import { Constants } from "../src/common/constants";
import { ShardLog, ShardLogEntry } from "../src/shard/replica/shardLog";

const entry = (seq: number, epoch: number): ShardLogEntry => ({ seq, epoch, frontier: 0, puts: [] });
/** A log after a snapshot at position 100 of epoch 3, with entries up to 105; the last two have epoch 4. */
function logAfterSnapshot(): ShardLog {
  const log = new ShardLog();
  log.reset(100, 3);
  log.append([entry(101, 3), entry(102, 3), entry(103, 3), entry(104, 4), entry(105, 4)]);
  return log;
}

test("the epoch of an entry is known only while the entry is in memory after the snapshot, and position 0 has epoch 0", () => {
  const log = logAfterSnapshot();
  expect([0, 100, 101, 103, 104, 105, 106].map((seq) => log.epochAt(seq))).toEqual([
    0,
    undefined,
    3,
    3,
    4,
    4,
    undefined,
  ]);
});
test("a log can be extended if its last entry has the same epoch here and all later entries are in memory", () => {
  const log = logAfterSnapshot();
  const canExtend = (seq: number, lastEpoch: number): boolean => log.canExtend({ seq, lastEpoch });
  expect([canExtend(105, 4), canExtend(103, 3), canExtend(101, 3)]).toEqual([true, true, true]);
  expect([canExtend(0, 0), canExtend(99, 3), canExtend(103, 4), canExtend(106, 4)]).toEqual([
    false,
    false,
    false,
    false,
  ]);
});
test("entries after a position are returned in order, up to the limit", () => {
  const log = logAfterSnapshot();
  const after = (seq: number, limit?: number): number[] => log.entriesAfter(seq, limit).map((each) => each.seq);
  expect([after(100), after(103), after(105), after(101, 2)]).toEqual([
    [101, 102, 103, 104, 105],
    [104, 105],
    [],
    [102, 103],
  ]);
});
test("only the last entries stay in memory, but all are counted until the next snapshot", () => {
  const log = new ShardLog();
  for (let seq = 1; seq <= Constants.shardLogMaxEntries + 10; seq += 1) log.append([entry(seq, 1)]);
  expect([log.firstSeq, log.lastSeq, log.entriesSinceSnapshot]).toEqual([
    11,
    Constants.shardLogMaxEntries + 10,
    Constants.shardLogMaxEntries + 10,
  ]);
});
