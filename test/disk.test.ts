import { Csp, Task } from "../src/runtime/csp";
import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

/** Runs a task on the log in folder `d`, in a new process that uses the disk. */
const withLog = async <T>(world: SimWorld, disk: SimDisk, body: (log: CheckpointedLog) => Task<T>): Promise<T> => {
  const process = world.start(`p${world.now}`, disk);
  return (await world.runTask(process, () => body(new CheckpointedLog(process.env, "d")), 60_000)) as T;
};
/** Opens the log, and returns its content or the detail of the fault. */
const readContent = function* (log: CheckpointedLog): Task<unknown> {
  const opened = yield* log.open();
  return opened.ok ? { state: opened.value.state, records: opened.value.records } : opened.fault.detail;
};

test("records and checkpoints are read back as they were written, across several checkpoints", async () => {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  await withLog(world, disk, function* (log) {
    yield* log.open();
    yield* log.append([1]);
    yield* log.checkpoint({ upTo: 1 });
    yield* log.append([2, 3]);
    yield* log.checkpoint({ upTo: 3 });
    yield* log.append([4]);
  });
  expect(await withLog(world, disk, readContent)).toEqual({ state: { upTo: 3 }, records: [4] });
});
test("if the newest checkpoint is damaged, the state is recovered from the other checkpoint and both logs", async () => {
  const world = new SimWorld(2);
  const disk = new SimDisk(world);
  await withLog(world, disk, function* (log) {
    yield* log.open();
    yield* log.append([1]);
    yield* log.checkpoint({ upTo: 1 });
    yield* log.append([2]);
    yield* log.checkpoint({ upTo: 2 });
    yield* log.append([3]);
  });
  expect(disk.damage((path) => path === "d/slot-a")).toEqual(["d/slot-a"]); // The checkpoint of generation 2.
  expect(await withLog(world, disk, readContent)).toEqual({ state: { upTo: 1 }, records: [2, 3] });
});
test("a log that is damaged before its last record is rejected with a fault that names the file", async () => {
  const world = new SimWorld(3);
  const disk = new SimDisk(world);
  await withLog(world, disk, function* (log) {
    yield* log.open();
    yield* log.append([{ first: true }]);
    yield* log.append([{ second: true }]);
  });
  disk.damage((path) => path === "d/log-0");
  expect(await withLog(world, disk, readContent)).toMatch("d/log-0 is damaged at byte 0");
});
test("after a power loss at any write, every acknowledged record is kept and a torn tail is truncated: 200 seeds", async () => {
  let unacknowledgedLost = 0;
  for (let seed = 1; seed <= 200; seed += 1) {
    const world = new SimWorld(seed);
    const disk = new SimDisk(world);
    const acknowledged: number[] = [];
    const process = world.start("p", disk);
    Csp.go(process.scope, "writer", function* () {
      const log = new CheckpointedLog(process.env, "d");
      yield* log.open();
      for (let n = 1; n < 200; n += 1) {
        if ((yield* log.append([n])).ok) acknowledged.push(n);
        if (n % 7 === 0) yield* log.checkpoint({ upTo: n });
      }
    });
    await world.run(5 + world.random() * 120);
    world.kill("p", true);
    const content = (await withLog(world, disk, readContent)) as { state?: { upTo: number }; records: number[] };
    const last = content.records.length > 0 ? content.records[content.records.length - 1] : (content.state?.upTo ?? 0);
    const checkpointed = content.state?.upTo ?? 0;
    expect(content.records).toEqual(
      Array.from({ length: last - checkpointed }, (_each, index) => checkpointed + index + 1),
    );
    expect(last).toBeGreaterThanOrEqual(acknowledged[acknowledged.length - 1] ?? 0);
    expect(last).toBeLessThanOrEqual((acknowledged[acknowledged.length - 1] ?? 0) + 1);
    if (last === acknowledged[acknowledged.length - 1]) unacknowledgedLost += 1;
  }
  expect(unacknowledgedLost).toBeGreaterThan(20);
});

/** Changes one file of a log and opens the log; returns the outcome, and whether opening it left the file unchanged. */
const openDamaged = async (
  name: string,
  damage: (data: Buffer) => Buffer,
): Promise<{ outcome: unknown; isUnchanged: boolean }> => {
  const world = new SimWorld(5);
  const disk = new SimDisk(world);
  await withLog(world, disk, function* (log) {
    yield* log.open();
    yield* log.append([1]);
    yield* log.checkpoint({ upTo: 1 });
    yield* log.append([2]);
  });
  const bytes = damage(Buffer.from(disk.under("d").get(name)!));
  const process = world.start("damager", disk);
  await world.runTask(process, () => process.env.disk.write(`d/${name}`, bytes), 1000);
  const outcome = await withLog(world, disk, readContent);
  return { outcome, isUnchanged: disk.under("d").get(name)!.equals(bytes) };
};
/** Replaces the first four bytes. */
const startingWith = (text: string) => (data: Buffer) => Buffer.concat([Buffer.from(text, "latin1"), data.subarray(4)]);
test.each([
  ["log-1", "PBR2", "d/log-1 has format 2; this version reads format 1"],
  ["log-1", "PBR9", 'd/log-1 has format unknown ("PBR9"); this version reads format 1'],
  ["slot-b", "PBS2", "d/slot-b has format 2; this version reads format 1"],
  ["slot-b", "PBS9", 'd/slot-b has format unknown ("PBS9"); this version reads format 1'],
  ["log-1", "{ a:", "d/log-1 is damaged at byte 0, or not ours"],
])(
  "file %s that begins with %s is rejected with a fault that names it, and not changed",
  async (name, magic, detail) => {
    expect(await openDamaged(name, startingWith(magic))).toEqual({ outcome: detail, isUnchanged: true });
  },
);
test("a folder whose only checkpoint is damaged, without an earlier log, is rejected and not treated as empty", async () => {
  const world = new SimWorld(6);
  const disk = new SimDisk(world);
  await withLog(world, disk, function* (log) {
    yield* log.open();
    yield* log.checkpoint({ filled: true });
  });
  disk.damage((path) => path === "d/slot-b");
  expect(await withLog(world, disk, readContent)).toBe("no readable slot: d/slot-b");
});
test("zeros after the last record, from a write that only extended the file, are truncated", async () => {
  const { outcome } = await openDamaged("log-1", (data) => Buffer.concat([data, Buffer.alloc(100)]));
  expect(outcome).toEqual({ state: { upTo: 1 }, records: [2] });
});

// Guards against a process that counts on what an earlier one wrote, though the sync of that had failed: the operating
// system shows such content to readers, may report later syncs as successful, and need not have written it.
test("what a start reads after a failed sync is durable: written anew, not only synced again", async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const world = new SimWorld(seed);
    const disk = new SimDisk(world);
    await withLog(world, disk, function* (log) {
      yield* log.open();
      yield* log.append([1]);
      disk.syncFailing = true;
      yield* log.append([2]);
    });
    world.kill([...world.processes.keys()].at(-1)!, false);
    disk.syncFailing = false;
    const read = await withLog(world, disk, readContent);
    world.kill([...world.processes.keys()].at(-1)!, true);
    expect(read).toMatchObject({ records: [1, 2] });
    expect([seed, await withLog(world, disk, readContent)]).toEqual([seed, read]);
  }
});
