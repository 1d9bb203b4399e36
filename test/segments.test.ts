import { Constants } from "../src/common/constants";
import { Task } from "../src/runtime/csp";
import { EnvironmentTools } from "../src/runtime/env";
import { ShardReplica } from "../src/shard/shardReplica";
import { ShardOperation } from "../src/shard/shardTypes";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { createReplica, openOps, put, route, runRequest, runInProcess, startLeader } from "./singleReplica";

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
