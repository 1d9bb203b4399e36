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
/** Start of the simulated wall clock. Twice this time is later than every stamp in this test. */
const START_WALL_MS = 1_790_000_000_000;
/** Creates the replica of a shard with one member, "s1". Its files are in the folder "d". */
const createReplica = (process: SimProcess): ShardReplica =>
  new ShardReplica(process.env, new Rpc(process.env, "c", "s1"), "s1", 0, "d", {
    addressOf: () => undefined,
    bounds: () => Stamp.defaults,
    isClockTrusted: () => true,
    putCompleted: () => undefined,
    leadershipStarted: () => undefined,
    leadershipStopped: () => undefined,
    viewChangeNeeded: () => undefined,
  });
/** Opens the replica of a shard with one member, and makes it the leader of a view with this epoch. */
function* startLeader(process: SimProcess, epoch: number): Task<ShardReplica> {
  const replica = createReplica(process);
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
let putCount = 0;
function* put(replica: ShardReplica, process: SimProcess, ops: ShardOperation[]): Task<PutOutcome> {
  const putId = `p${(putCount += 1)}`;
  for (;;) {
    const done = yield* replica.put(
      { putId, stamp: { time: Math.floor(process.env.wallClockMs()), node: "n", seq: putCount }, ops, cause: {} },
      5000,
    );
    if (done.ok) return done.value;
    if (done.fault.tag !== "late") throw new Error(JSON.stringify(done.fault));
    yield* EnvironmentTools.sleep(process.env, 10); // the frontier of a leader that just started is δ ahead of its clock
  }
}
const openOps = (id: string, body = "h"): ShardOperation[] => [
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
      life: `${START_WALL_MS * 2}~n~0`,
    },
  },
  { op: "claim", id, round: 1, replica: "r", owner: "s1" },
];
function* runRequest(replica: ShardReplica, process: SimProcess, id: string): Task<void> {
  yield* put(replica, process, [
    ...openOps(id),
    { op: "pieces", id, round: 1, first: 1, data: [`response of ${id}`] },
    { op: "close", id, round: 1, state: "done", outcome: "" },
  ]);
}
const acceptJob = (id: string): ShardOperation => ({
  op: "lot",
  lot: { id, binding: "b", bodyHash: "beef00000000000", bodies: ["1", "2"], safe: false, order: 1, kept: route },
});
function* runJob(replica: ShardReplica, process: SimProcess, id: string): Task<void> {
  yield* put(replica, process, [
    acceptJob(id),
    ...[1, 0].flatMap((item): ShardOperation[] => [
      { op: "itemClaim", lot: id, item, round: 1, replica: "r", owner: "s1" },
      { op: "itemResult", lot: id, item, round: 1, state: "done", result: `${id}/${item}` },
    ]),
  ]);
}
const runInProcess = async <T>(world: SimWorld, process: SimProcess, body: () => Task<T>): Promise<T> => {
  const done = await world.runTask(process, body, 10_000_000);
  expect(process.errors).toEqual([]);
  return done as T;
};

/** Opens a replica from a copy of a disk in which one file is changed. Returns "opened" or the detail of the fault. */
async function openDamaged(
  world: SimWorld,
  disk: SimDisk,
  name: string,
  damage: (data: Buffer) => void,
): Promise<string> {
  const copy = new SimDisk(world);
  const damagedProcess = world.start(`spoilt ${name}`, copy);
  await runInProcess(world, damagedProcess, function* () {
    for (const [file, data] of disk.under("d")) {
      const bytes = Buffer.from(data);
      if (file === name) damage(bytes);
      yield* copy.forProcess(damagedProcess).write(`d/${file}`, bytes);
    }
  });
  return runInProcess(world, damagedProcess, function* () {
    const replica = createReplica(damagedProcess);
    const opened = yield* replica.open();
    return opened.ok ? "opened" : opened.fault.detail;
  });
}

describe("a shard with more closed requests and jobs than stay in memory, after a power loss", () => {
  const [requestCount, jobCount] = [12_000, 3_000];
  const world = new SimWorld(3);
  const disk = new SimDisk(world);
  disk.syncMs = [0.05, 0.1];
  let replica: ShardReplica;
  let process: SimProcess;
  beforeAll(async () => {
    const firstProcess = world.start("day", disk);
    await runInProcess(world, firstProcess, function* () {
      const firstLeader = yield* startLeader(firstProcess, 1);
      for (let n = 0; n < requestCount; n += 1) {
        yield* runRequest(firstLeader, firstProcess, `key-${n}`);
        if (n % 4 === 0) yield* runJob(firstLeader, firstProcess, `lot-${n / 4}`);
      }
      yield* EnvironmentTools.sleep(firstProcess.env, 1000);
      yield* runRequest(firstLeader, firstProcess, "key-last"); // advances the log clock, so that the last jobs are sealed
    });
    world.kill("day", true);
    process = world.start("morning", disk);
    replica = await runInProcess(world, process, () => startLeader(process, 2));
  }, 120_000);

  test("every response is read back, every job's results are read back in order, and the objects in memory are bounded", async () => {
    await runInProcess(world, process, function* () {
      for (let n = 0; n < requestCount; n += 97) {
        const request = yield* replica.liveRequest(`key-${n}`);
        expect(request.ok && request.value?.pieces[0].data).toBe(`response of key-${n}`);
      }
      for (let n = 0; n < jobCount; n += 29) {
        const job = yield* replica.job(`lot-${n}`);
        expect(job.ok && job.value?.positions).toEqual([1, 0]); // results with the same stamp are in log order
        expect(job.ok && job.value?.items.map((item) => item.result)).toEqual([`lot-${n}/0`, `lot-${n}/1`]);
      }
    });
    expect(replica.data.liveRequests.size).toBeLessThanOrEqual(2 * Constants.segmentObjects.works);
    expect(replica.data.jobs.size).toBeLessThanOrEqual(2 * Constants.segmentObjects.lots);
  });
  test("a repeated idempotency key or job id never runs again, and a different body under it is detected", async () => {
    await runInProcess(world, process, function* () {
      for (const id of ["key-0", `key-${requestCount - 1}`]) {
        expect(yield* put(replica, process, openOps(id))).toEqual({ tag: "exists", same: true, state: "done" });
        expect(yield* put(replica, process, openOps(id, "x"))).toEqual({ tag: "exists", same: false, state: "done" });
      }
      for (const id of ["lot-0", `lot-${jobCount - 1}`])
        expect(yield* put(replica, process, [acceptJob(id)])).toEqual({ tag: "exists", same: true, state: "finished" });
    });
  });
  test("trimmed objects are gone but their ids still never run again, even after a restart, and newer objects stay", async () => {
    const trimmed = await runInProcess(world, process, function* () {
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
    const restarted = world.start("next morning", disk);
    await runInProcess(world, restarted, function* () {
      const leader = yield* startLeader(restarted, 3);
      const read = yield* leader.liveRequest("key-0");
      expect(!read.ok && read.fault.tag).toBe("gone");
      expect(yield* put(leader, restarted, openOps("key-0"))).toEqual({ tag: "exists", same: true, state: "trimmed" });
      expect(
        yield* put(leader, restarted, [{ op: "close", id: "key-0", round: 0, state: "refused", outcome: "" }]),
      ).toEqual({ tag: "exists", same: true, state: "done" });
      const newest = yield* leader.liveRequest(`key-${requestCount - 1}`);
      expect(newest.ok && newest.value?.state).toBe("done");
    });
  });
  test("a damaged index, or an index or snapshot of another format, fails the start with a fault that names the file", async () => {
    const openWith = (name: string, damage: (data: Buffer) => void): Promise<string> =>
      openDamaged(world, disk, name, damage);
    expect(await openWith("works-3.idx", (data) => (data[30] ^= 0xff))).toBe("d/works-3.idx is damaged");
    expect(await openWith("works-3.idx", (data) => data.writeUInt32BE(9, 4))).toBe(
      "d/works-3.idx has format 9; this version reads format 2",
    );
    expect(await openWith("slot-a", (data) => data.writeUInt32BE(0x50425331, 0))).toBe(
      "d/slot-a has format 1; this version reads format 2",
    );
    expect(await openWith("none", () => undefined)).toBe("opened");
  });
});
