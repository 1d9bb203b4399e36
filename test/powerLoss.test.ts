import { DataFolder } from "../src/runtime/dataFolder";
import { Task } from "../src/runtime/csp";
import { DiskSteps } from "../src/runtime/diskSteps";
import { DurableDisk } from "../src/runtime/durableDisk";
import { Disk, Environment } from "../src/runtime/env";
import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { PowerLoss, SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const folder = "mount/data";
class Ended extends Error {}
const ended = new Ended();
/** Guards taken out, to see that the plays fail without them. */
type Without = { steps?: (steps: DiskSteps) => Partial<DiskSteps>; disk?: (disk: Disk) => Partial<Disk> };

/** Plays a body once for each way in which its choices can come out. */
function everyOutcome(body: (loss: PowerLoss) => void): number {
  const taken: { at: number; of: number }[] = [];
  for (let plays = 1; ; plays += 1) {
    let next = 0;
    const pick = (of: number): number => {
      if (next === taken.length) taken.push({ at: 0, of });
      return taken[next++].at;
    };
    body({ pick, cut: (bytes) => bytes >> 1 });
    while (taken.length > 0 && taken[taken.length - 1].at === taken[taken.length - 1].of - 1) taken.pop();
    if (taken.length === 0) return plays;
    taken[taken.length - 1].at += 1;
  }
}
/** A process on a disk: it ends in the middle of a sync, the one after so many. */
function lifeOf(disk: SimDisk, syncs: number, without: Without = {}): Environment {
  let left = syncs;
  const wait = function* (): Task<void> {
    if ((left -= 1) < 0) throw ended;
  };
  const steps = disk.steps("p", wait);
  const durable: Disk = new DurableDisk({ ...steps, ...without.steps?.(steps) });
  return {
    name: "p",
    disk: Object.assign(durable, without.disk?.(durable)),
    log: () => undefined,
    point: () => undefined,
  } as unknown as Environment;
}
/** Runs a task that waits for nothing; false if its process ended on the way. */
function runs(task: Task<unknown>): boolean {
  try {
    const step = task.next();
    if (!step.done) throw new Error("a task waited");
    return true;
  } catch (error) {
    if (error instanceof Ended) return false;
    throw error;
  }
}
const emptyDisk = (): SimDisk => {
  const disk = new SimDisk(new SimWorld(1));
  runs(disk.steps("setup", function* () {}).makeFolder("mount"));
  runs(disk.steps("setup", function* () {}).syncFolder("."));
  return disk;
};

type Kept = { acknowledged: number; written: number; id?: string };
/** One life of a node: takes up its folder, appends numbers one and two at a time, and folds them. */
function* work(env: Environment, kept: Kept, rounds: number): Task<void> {
  const opened = yield* DataFolder.open(env, folder, "a:1", {
    id: `node-${kept.written}`,
    cluster: "c",
    program: "control",
  });
  if (!opened.ok) throw new Error(opened.fault.detail);
  if (kept.id !== undefined && kept.id !== opened.value) throw new Error(`was ${kept.id}, is ${opened.value}`);
  kept.id = opened.value;
  const slots = new CheckpointedLog(env, `${folder}/group`);
  const read = yield* slots.open();
  if (!read.ok) throw new Error(read.fault.detail);
  const upTo = (read.value.state as { upTo: number } | undefined)?.upTo ?? 0;
  const records = read.value.records as number[];
  const last = records.length > 0 ? records[records.length - 1] : upTo;
  const expected = Array.from({ length: last - upTo }, (_each, at) => upTo + at + 1);
  if (JSON.stringify(records) !== JSON.stringify(expected)) throw new Error(`after ${upTo}: ${records.join(" ")}`);
  if (last < kept.acknowledged || last > kept.written)
    throw new Error(`${last} read, ${kept.acknowledged} acknowledged, ${kept.written} written`);
  // what was read counts from now on: a voter acknowledges what it holds
  kept.acknowledged = last;
  kept.written = last;
  for (let round = 0; round < rounds; round += 1) {
    for (const many of [1, 2]) {
      const numbers = Array.from({ length: many }, (_each, at) => kept.written + at + 1);
      kept.written += many;
      if ((yield* slots.append(numbers)).ok) kept.acknowledged = kept.written;
    }
    yield* slots.checkpoint({ upTo: kept.written });
  }
}
/** How a first life ended: its power lost, or its process killed with all that it wrote kept by the machine. */
type FirstEnd = "power" | "kill";
function playAll(firstEnd: FirstEnd, without?: Without): { plays: number; points: number } {
  let plays = 0;
  let points = 0;
  const rounds = { power: 3, kill: 1 }[firstEnd];
  for (let first = 0, firstEnded = false; !firstEnded; first += 1)
    for (let second = 0, secondEnded = false; !secondEnded; second += 1) {
      points += 1;
      plays += everyOutcome((loss) => {
        const disk = emptyDisk();
        const kept: Kept = { acknowledged: 0, written: 0 };
        const firstLife = runs(work(lifeOf(disk, first, without), kept, rounds));
        firstEnded = firstLife;
        if (kept.acknowledged === 0) kept.id = undefined; // nobody has heard of it
        if (firstEnd === "kill") {
          secondEnded = runs(work(lifeOf(disk, second, without), kept, 1));
          if (kept.acknowledged === 0) kept.id = undefined;
        } else secondEnded = true;
        disk.losePower(loss);
        if (!runs(work(lifeOf(disk, Infinity, without), kept, 1))) throw new Error("the last life ended");
      });
    }
  return { plays, points };
}

test("power lost at any sync, each name kept or lost and each write there, missing or torn by itself: a node starts again and has all it acknowledged", () => {
  const { plays, points } = playAll("power");
  expect(points).toBeGreaterThan(20);
  expect(plays).toBeGreaterThan(100);
});
test("a process killed at any sync, started again, and power lost at any later sync: what the second life read or acknowledged stays", () => {
  const { plays, points } = playAll("kill");
  expect(points).toBeGreaterThan(100);
  expect(plays).toBeGreaterThan(1000);
}, 60_000);

const inPlace = (steps: DiskSteps): Partial<DiskSteps> => ({
  rename: noStep,
  writeAndSync: (file, mode, data) => steps.writeAndSync(file.replace(/\.new$/, ""), mode, data),
});
const unsyncedWhere = (which: (path: string) => boolean) => ({
  steps: (steps: DiskSteps): Partial<DiskSteps> => ({
    syncFolder: (path) => (which(path) ? noStep() : steps.syncFolder(path)),
  }),
});
const openedUnsynced = (which: (path: string) => boolean) => ({
  disk: (disk: Disk): Partial<Disk> => {
    const { syncFolder } = disk;
    return { syncFolder: (path) => (which(path) ? noStep() : syncFolder(path)) };
  },
});
test.each<[string, FirstEnd, Without, string]>([
  ["the sync of a made folder in its parent", "power", unsyncedWhere((path) => path === folder), "has no identity"],
  ["the sync of a renamed file's folder", "power", unsyncedWhere((path) => path.endsWith("group")), "acknowledged"],
  ["whole files put in place by a rename", "power", { steps: inPlace }, "belongs to nobody readable"],
  ["the sync of a log found at the start", "kill", { disk: () => ({ syncFile: noStep }) }, "acknowledged"],
  ["the sync of names found in the data folder", "kill", openedUnsynced((path) => path === folder), "no identity"],
  ["the sync of names found beside the log", "kill", openedUnsynced((path) => path !== folder), "acknowledged"],
])("without %s the plays fail", (_name, firstEnd, without, error) => {
  expect(() => playAll(firstEnd, without)).toThrow(error);
});
function* noStep(): Task<{ ok: true; value: true }> {
  return { ok: true, value: true };
}
