import { Csp, Task } from "../src/runtime/csp";
import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const inWorld = async <T>(world: SimWorld, disk: SimDisk, body: (slots: CheckpointedLog) => Task<T>): Promise<T> => {
  const process = world.start(`p${world.now}`, disk);
  return (await world.runTask(process, () => body(new CheckpointedLog(process.env, "d")), 60_000)) as T;
};
const records = function* (slots: CheckpointedLog): Task<unknown> {
  const opened = yield* slots.open();
  return opened.ok ? { state: opened.value.state, records: opened.value.records } : opened.fault.detail;
};

test("records and slots come back as they were written, through rotations", async () => {
  const world = new SimWorld(1);
  const disk = new SimDisk(world);
  await inWorld(world, disk, function* (slots) {
    yield* slots.open();
    yield* slots.append([1]);
    yield* slots.checkpoint({ upTo: 1 });
    yield* slots.append([2, 3]);
    yield* slots.checkpoint({ upTo: 3 });
    yield* slots.append([4]);
  });
  expect(await inWorld(world, disk, records)).toEqual({ state: { upTo: 3 }, records: [4] });
});
test("a damaged newest slot is made good by the other slot and both logs", async () => {
  const world = new SimWorld(2);
  const disk = new SimDisk(world);
  await inWorld(world, disk, function* (slots) {
    yield* slots.open();
    yield* slots.append([1]);
    yield* slots.checkpoint({ upTo: 1 });
    yield* slots.append([2]);
    yield* slots.checkpoint({ upTo: 2 });
    yield* slots.append([3]);
  });
  expect(disk.damage((path) => path === "d/slot-a")).toEqual(["d/slot-a"]); // generation 2
  expect(await inWorld(world, disk, records)).toEqual({ state: { upTo: 1 }, records: [2, 3] });
});
test("damage in the middle of a log is a refusal that names the file", async () => {
  const world = new SimWorld(3);
  const disk = new SimDisk(world);
  await inWorld(world, disk, function* (slots) {
    yield* slots.open();
    yield* slots.append([{ first: true }]);
    yield* slots.append([{ second: true }]);
  });
  disk.damage((path) => path === "d/log-0");
  expect(await inWorld(world, disk, records)).toMatch("d/log-0 is damaged at byte 0");
});
test("power lost at any write leaves every acknowledged record, and a torn tail is cut: 200 seeds", async () => {
  let undone = 0;
  for (let seed = 1; seed <= 200; seed += 1) {
    const world = new SimWorld(seed);
    const disk = new SimDisk(world);
    const acknowledged: number[] = [];
    const process = world.start("p", disk);
    Csp.go(process.scope, "writer", function* () {
      const slots = new CheckpointedLog(process.env, "d");
      yield* slots.open();
      for (let n = 1; n < 200; n += 1) {
        if ((yield* slots.append([n])).ok) acknowledged.push(n);
        if (n % 7 === 0) yield* slots.checkpoint({ upTo: n });
      }
    });
    await world.run(5 + world.random() * 120);
    world.kill("p", true);
    const read = (await inWorld(world, disk, records)) as { state?: { upTo: number }; records: number[] };
    const last = read.records.length > 0 ? read.records[read.records.length - 1] : (read.state?.upTo ?? 0);
    const from = read.state?.upTo ?? 0;
    expect(read.records).toEqual(Array.from({ length: last - from }, (_each, at) => from + at + 1));
    expect(last).toBeGreaterThanOrEqual(acknowledged[acknowledged.length - 1] ?? 0);
    expect(last).toBeLessThanOrEqual((acknowledged[acknowledged.length - 1] ?? 0) + 1);
    if (last === acknowledged[acknowledged.length - 1]) undone += 1;
  }
  expect(undone).toBeGreaterThan(20);
});

/** What a start says of a folder in which one file was changed, and whether that file was left as it is. */
const spoilt = async (name: string, spoil: (data: Buffer) => Buffer): Promise<{ said: unknown; left: boolean }> => {
  const world = new SimWorld(5);
  const disk = new SimDisk(world);
  await inWorld(world, disk, function* (slots) {
    yield* slots.open();
    yield* slots.append([1]);
    yield* slots.checkpoint({ upTo: 1 });
    yield* slots.append([2]);
  });
  const bytes = spoil(Buffer.from(disk.under("d").get(name)!));
  const process = world.start("spoiler", disk);
  await world.runTask(process, () => process.env.disk.write(`d/${name}`, bytes), 1000);
  const said = await inWorld(world, disk, records);
  return { said, left: disk.under("d").get(name)!.equals(bytes) };
};
const startingWith = (text: string) => (data: Buffer) => Buffer.concat([Buffer.from(text, "latin1"), data.subarray(4)]);
test.each([
  ["log-1", "PBR2", "d/log-1 has format 2; this version reads format 1"],
  ["log-1", "PBR9", 'd/log-1 has format unknown ("PBR9"); this version reads format 1'],
  ["slot-b", "PBS2", "d/slot-b has format 2; this version reads format 1"],
  ["slot-b", "PBS9", 'd/slot-b has format unknown ("PBS9"); this version reads format 1'],
  ["log-1", "{ a:", "d/log-1 is damaged at byte 0, or not ours"],
])("%s that begins with %s is refused by name and left as it is", async (name, magic, said) => {
  expect(await spoilt(name, startingWith(magic))).toEqual({ said, left: true });
});
test("the only slot damaged, and no log from before it: refused, never taken for an empty folder", async () => {
  const world = new SimWorld(6);
  const disk = new SimDisk(world);
  await inWorld(world, disk, function* (slots) {
    yield* slots.open();
    yield* slots.checkpoint({ filled: true });
  });
  disk.damage((path) => path === "d/slot-b");
  expect(await inWorld(world, disk, records)).toBe("no readable slot: d/slot-b");
});
test("zeros behind the last record, from a write of which only the length came, are cut", async () => {
  const { said } = await spoilt("log-1", (data) => Buffer.concat([data, Buffer.alloc(100)]));
  expect(said).toEqual({ state: { upTo: 1 }, records: [2] });
});
