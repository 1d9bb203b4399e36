import { Stamp } from "../src/common/stamp";
import { LedgerIndex } from "../src/shard/state/ledgerIndex";
import { Put } from "../src/shard/state/operations";
import { ShardData } from "../src/shard/state/shardData";
import { ShardState } from "../src/shard/state/shardState";

const route = {
  kind: "item" as const,
  pool: "p",
  path: "/",
  safe: false,
  deadlineMs: 1000,
  continues: "no" as const,
  prefixBytes: 0,
};
const notePut = (putId: string, time: number, subject = "thing", node = "n"): Put => ({
  putId,
  stamp: { time, node, seq: 0 },
  ops: [{ op: "note", entries: [{ subject, decision: putId, cause: {} }] }],
  cause: {},
});

test("rule 3: the time index has only entries up to the frontier, in the order of their stamps, in whatever order they were logged", () => {
  const data = ShardData.empty();
  for (const put of [notePut("c", 30), notePut("a", 10), notePut("b", 20)]) ShardState.apply(data, put);
  expect(data.ledger).toEqual([]);
  ShardState.advanceFrontier(data, 20);
  expect(data.ledger.map((entry) => entry.decision)).toEqual(["a", "b"]);
  ShardState.advanceFrontier(data, 15); // the frontier never moves back
  expect(data.frontier).toBe(20);
  ShardState.advanceFrontier(data, 31);
  expect(data.ledger.map((entry) => entry.decision)).toEqual(["a", "b", "c"]);
});
test("a temporal read returns the nearest version not prior to τ: that at τ, else the next one, else none", () => {
  const data = ShardData.empty();
  for (const put of [notePut("v1", 10), notePut("other", 15, "other thing"), notePut("v2", 20)])
    ShardState.apply(data, put);
  ShardState.advanceFrontier(data, 19);
  expect(LedgerIndex.nearest(data, "thing", 10)?.decision).toBe("v1"); // at the same time
  expect(LedgerIndex.nearest(data, "thing", 5)?.decision).toBe("v1"); // before the first version
  expect(LedgerIndex.nearest(data, "thing", 11)).toBeUndefined(); // the next version is not stable yet
  ShardState.advanceFrontier(data, 20);
  expect(LedgerIndex.nearest(data, "thing", 11)?.decision).toBe("v2"); // between two versions
  expect(LedgerIndex.nearest(data, "thing", 21)).toBeUndefined(); // after the last version
});
test("a put with a known id changes nothing and gets the outcome of the first", () => {
  const data = ShardData.empty();
  const job: Put = {
    putId: "p",
    stamp: { time: 1, node: "n", seq: 0 },
    ops: [
      {
        op: "lot",
        lot: { id: "L", binding: "b", bodyHash: "h", bodies: ["1", "2"], safe: false, order: 1, kept: route },
      },
    ],
    cause: {},
  };
  expect(ShardState.apply(data, job)).toEqual({ tag: "done" });
  expect(ShardState.apply(data, job)).toEqual({ tag: "done" });
  expect(data.unstablePuts).toHaveLength(1);
  expect(
    ShardState.apply(data, {
      ...job,
      putId: "q",
      ops: [{ ...job.ops[0], lot: { ...(job.ops[0] as { lot: object }).lot, bodyHash: "other" } } as Put["ops"][0]],
    }),
  ).toEqual({ tag: "exists", same: false, state: "open" });
});
test("an item is claimed once and gets one result, and no item of an ended job starts", () => {
  const data = ShardData.empty();
  let time = 0;
  const put = (op: Put["ops"][0]): string =>
    ShardState.apply(data, { putId: `p${(time += 1)}`, stamp: { time, node: "n", seq: 0 }, ops: [op], cause: {} }).tag;
  expect(
    put({
      op: "lot",
      lot: { id: "L", binding: "b", bodyHash: "h", bodies: ["1", "2", "3"], safe: false, order: 1, kept: route },
    }),
  ).toBe("done");
  expect(put({ op: "itemClaim", lot: "L", item: 0, round: 1, replica: "r", owner: "s" })).toBe("done");
  expect(put({ op: "itemClaim", lot: "L", item: 0, round: 1, replica: "q", owner: "t" })).toBe("no");
  expect(put({ op: "itemResult", lot: "L", item: 0, round: 1, state: "done", result: "x" })).toBe("done");
  expect(put({ op: "itemResult", lot: "L", item: 0, round: 1, state: "done", result: "y" })).toBe("no");
  expect(put({ op: "itemClaim", lot: "L", item: 1, round: 1, replica: "r", owner: "s" })).toBe("done");
  expect(put({ op: "lotEnd", lot: "L", by: "c" })).toBe("done");
  expect(put({ op: "itemClaim", lot: "L", item: 2, round: 1, replica: "r", owner: "s" })).toBe("no");
  expect(put({ op: "itemRelease", lot: "L", item: 1, round: 1, why: "unsent" })).toBe("done");
  expect(data.jobs.get("L")!.items.map((item) => item.state)).toEqual(["done", "ended", "ended"]);
  expect(data.jobs.get("L")!.open).toBe(0);
});
test("a rejected request is opened again only by a later arrival", () => {
  const data = ShardData.empty();
  const open = (putId: string, arrival: number, at: number): string =>
    ShardState.apply(data, {
      putId,
      stamp: { time: at, node: "n", seq: 0 },
      ops: [
        {
          op: "open",
          work: {
            id: "k",
            binding: "b",
            bodyHash: "h",
            body: "{}",
            keyed: true,
            safe: false,
            exact: false,
            deadlineAt: 0,
            order: 1,
            life: Stamp.text({ time: arrival, node: "n", seq: 0 }),
          },
        },
      ],
      cause: {},
    }).tag;
  expect(
    ShardState.apply(data, {
      putId: "r",
      stamp: { time: 50, node: "n", seq: 0 },
      ops: [{ op: "close", id: "k", round: 0, state: "refused", outcome: "" }],
      cause: {},
    }).tag,
  ).toBe("done");
  expect(open("late", 40, 60)).toBe("exists"); // the arrival that was rejected, delayed
  expect(open("again", 55, 61)).toBe("done");
});
