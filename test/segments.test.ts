import { Constants } from "../src/common/constants";
import { Stamp } from "../src/common/stamp";
import { Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ShardReplica } from "../src/shard/shardReplica";
import { ShardOperation, PutOutcome } from "../src/shard/shardTypes";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { Rpc } from "../src/rpc/rpc";

const route = {
  kind: "item" as const,
  pool: "p",
  path: "/",
  safe: false,
  deadlineMs: 1000,
  continues: "no" as const,
  prefixBytes: 0,
};
const wallAt = 1_790_000_000_000;
/** The only replica of a shard, with its files in the folder "d". */
const onlyReplica = (process: SimProcess): ShardReplica =>
  new ShardReplica(process.env, new Rpc(process.env, "c", "s1"), "s1", 0, "d", {
    addressOf: () => undefined,
    bounds: () => Stamp.defaults,
    isClockTrusted: () => true,
    putCompleted: () => undefined,
    leadershipStarted: () => undefined,
    leadershipStopped: () => undefined,
    viewChangeNeeded: () => undefined,
  });
/** The replica of a shard with one member, opened and made the leader of the next view. */
function* leading(process: SimProcess, epoch: number): Task<ShardReplica> {
  const replica = onlyReplica(process);
  const opened = yield* replica.open();
  if (!opened.ok) throw new Error(opened.fault.detail);
  if (epoch > 1) yield* replica.viewChange.onSeal({ shard: 0, epoch });
  yield* replica.viewChange.onInstall({
    shard: 0,
    view: { shard: 0, epoch, members: ["s1"], lead: "s1" },
    waitMs: 0,
  });
  while (!replica.holdsLease()) yield* EnvironmentTools.sleep(process.env, 20);
  return replica;
}
let puts = 0;
function* put(replica: ShardReplica, process: SimProcess, ops: ShardOperation[]): Task<PutOutcome> {
  const putId = `p${(puts += 1)}`;
  for (;;) {
    const done = yield* replica.put(
      { putId, stamp: { time: Math.floor(process.env.wallClockMs()), node: "n", seq: puts }, ops, cause: {} },
      5000,
    );
    if (done.ok) return done.value;
    if (done.fault.tag !== "late") throw new Error(JSON.stringify(done.fault));
    yield* EnvironmentTools.sleep(process.env, 10); // the frontier of a leader that just started is ahead by δ
  }
}
const order = (id: string, body = "h"): ShardOperation[] => [
  {
    op: "open",
    work: {
      id,
      binding: "b",
      bodyHash: `0123${body.charCodeAt(0).toString(16)}aaaaaaaaaaaaa`,
      body: "{}",
      keyed: true,
      safe: false,
      exact: false,
      deadlineAt: 0,
      order: 0,
      life: `${wallAt * 2}~n~0`,
    },
  },
  { op: "claim", id, round: 1, replica: "r", owner: "s1" },
];
function* single(replica: ShardReplica, process: SimProcess, id: string): Task<void> {
  yield* put(replica, process, [
    ...order(id),
    { op: "pieces", id, round: 1, first: 1, data: [`response of ${id}`] },
    { op: "close", id, round: 1, state: "done", outcome: "" },
  ]);
}
const jobOrder = (id: string): ShardOperation => ({
  op: "lot",
  lot: { id, binding: "b", bodyHash: "beef00000000000", bodies: ["1", "2"], safe: false, order: 1, kept: route },
});
function* job(replica: ShardReplica, process: SimProcess, id: string): Task<void> {
  yield* put(replica, process, [
    jobOrder(id),
    ...[1, 0].flatMap((item): ShardOperation[] => [
      { op: "itemClaim", lot: id, item, round: 1, replica: "r", owner: "s1" },
      { op: "itemResult", lot: id, item, round: 1, state: "done", result: `${id}/${item}` },
    ]),
  ]);
}
const inWorld = async <T>(world: SimWorld, process: SimProcess, body: () => Task<T>): Promise<T> => {
  const done = await world.finish(process, body, 10_000_000);
  expect(process.errors).toEqual([]);
  return done as T;
};

/** Opens a copy of a disk with one file changed; "opened", or the detail of the fault. */
async function openSpoilt(
  world: SimWorld,
  disk: SimDisk,
  name: string,
  spoil: (data: Buffer) => void,
): Promise<string> {
  const other = new SimDisk(world);
  const spoilt = world.start(`spoilt ${name}`, other);
  await inWorld(world, spoilt, function* () {
    for (const [file, data] of disk.under("d")) {
      const bytes = Buffer.from(data);
      if (file === name) spoil(bytes);
      yield* other.of(spoilt).write(`d/${file}`, bytes);
    }
  });
  return inWorld(world, spoilt, function* () {
    const segmented = onlyReplica(spoilt);
    const opened = yield* segmented.open();
    return opened.ok ? "opened" : opened.fault.detail;
  });
}

describe("a shard with more closed requests and jobs than memory, after a loss of power", () => {
  const [singles, jobs] = [12_000, 3_000];
  const world = new SimWorld(3);
  const disk = new SimDisk(world);
  disk.syncMs = [0.05, 0.1];
  let replica: ShardReplica;
  let process: SimProcess;
  beforeAll(async () => {
    const before = world.start("day", disk);
    await inWorld(world, before, function* () {
      const filled = yield* leading(before, 1);
      for (let n = 0; n < singles; n += 1) {
        yield* single(filled, before, `key-${n}`);
        if (n % 4 === 0) yield* job(filled, before, `lot-${n / 4}`);
      }
      yield* EnvironmentTools.sleep(before.env, 1000);
      yield* single(filled, before, "key-last"); // its entry carries the clock by which jobs are sealed
    });
    world.kill("day", true);
    process = world.start("morning", disk);
    replica = await inWorld(world, process, () => leading(process, 2));
  }, 120_000);

  test("every response, and every result in its position, is read back, and memory is bounded", async () => {
    await inWorld(world, process, function* () {
      for (let n = 0; n < singles; n += 97) {
        const work = yield* replica.liveRequest(`key-${n}`);
        expect(work.ok && work.value?.pieces[0].data).toBe(`response of key-${n}`);
      }
      for (let n = 0; n < jobs; n += 29) {
        const held = yield* replica.job(`lot-${n}`);
        expect(held.ok && held.value?.positions).toEqual([1, 0]); // one put, one stamp: in the order logged
        expect(held.ok && held.value?.items.map((item) => item.result)).toEqual([`lot-${n}/0`, `lot-${n}/1`]);
      }
    });
    expect(replica.data.liveRequests.size).toBeLessThanOrEqual(2 * Constants.segmentObjects.works);
    expect(replica.data.jobs.size).toBeLessThanOrEqual(2 * Constants.segmentObjects.lots);
  });
  test("a repeated idempotency key or job id never runs again, and another body under it is recognised", async () => {
    await inWorld(world, process, function* () {
      for (const id of ["key-0", `key-${singles - 1}`]) {
        expect(yield* put(replica, process, order(id))).toEqual({ tag: "exists", same: true, state: "done" });
        expect(yield* put(replica, process, order(id, "x"))).toEqual({ tag: "exists", same: false, state: "done" });
      }
      for (const id of ["lot-0", `lot-${jobs - 1}`])
        expect(yield* put(replica, process, [jobOrder(id)])).toEqual({ tag: "exists", same: true, state: "finished" });
    });
  });
  test("trimmed objects are gone but their ids still never run again, also after a restart; newer ones stay", async () => {
    const trimmed = await inWorld(world, process, function* () {
      const below = replica.segments.firstSegmentSince("works", process.env.wallClockMs() + 1) - 1;
      yield* put(replica, process, [{ op: "trim", kind: "works", below, detail: "trimmed" }]);
      yield* EnvironmentTools.sleep(process.env, 6000);
      return below;
    });
    expect(trimmed).toBeGreaterThan(30);
    expect([...disk.under("d").keys()].filter((name) => /^works-\d+\.seg$/.test(name)).length).toBe(
      replica.data.segmentCounts.works - trimmed,
    );
    world.kill("morning", true);
    const next = world.start("next morning", disk);
    await inWorld(world, next, function* () {
      const again = yield* leading(next, 3);
      const read = yield* again.liveRequest("key-0");
      expect(!read.ok && read.fault.tag).toBe("gone");
      expect(yield* put(again, next, order("key-0"))).toEqual({ tag: "exists", same: true, state: "trimmed" });
      expect(yield* put(again, next, [{ op: "close", id: "key-0", round: 0, state: "refused", outcome: "" }])).toEqual({
        tag: "exists",
        same: true,
        state: "done",
      });
      const newest = yield* again.liveRequest(`key-${singles - 1}`);
      expect(newest.ok && newest.value?.state).toBe("done");
    });
  });
  test("a damaged index, or a snapshot of another format, is refused by the name of its file", async () => {
    const refused = (name: string, spoil: (data: Buffer) => void): Promise<string> =>
      openSpoilt(world, disk, name, spoil);
    expect(await refused("works-3.idx", (data) => (data[30] ^= 0xff))).toBe("d/works-3.idx is damaged");
    expect(await refused("works-3.idx", (data) => data.writeUInt32BE(9, 4))).toBe(
      "d/works-3.idx has format 9; this version reads format 2",
    );
    expect(await refused("slot-a", (data) => data.writeUInt32BE(0x50425331, 0))).toBe(
      "d/slot-a has format 1; this version reads format 2",
    );
    expect(await refused("none", () => undefined)).toBe("opened");
  });
});
