import { DataFolder } from "../src/runtime/dataFolder";
import { Task } from "../src/runtime/csp";
import { DiskSteps } from "../src/runtime/diskSteps";
import { DurableDisk } from "../src/runtime/durableDisk";
import { Disk, Environment } from "../src/runtime/env";
import { CheckpointedLog } from "../src/runtime/checkpointedLog";
import { PowerLoss, SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const FOLDER = "mount/data";
class ProcessStopped extends Error {}
const processStopped = new ProcessStopped();
/** Disk operations to replace. Replacing one that guards against a loss must make a run fail. */
type Overrides = { steps?: (steps: DiskSteps) => Partial<DiskSteps>; disk?: (disk: Disk) => Partial<Disk> };

/** Runs a body once for each combination of outcomes that a power loss can pick. Returns the number of runs. */
function runEveryOutcome(body: (loss: PowerLoss) => void): number {
  const choices: { picked: number; outcomes: number }[] = [];
  for (let runCount = 1; ; runCount += 1) {
    let next = 0;
    const pick = (outcomes: number): number => {
      if (next === choices.length) choices.push({ picked: 0, outcomes });
      return choices[next++].picked;
    };
    body({ pickOutcome: pick, pickTearOffset: (bytes) => bytes >> 1 });
    while (choices.length > 0 && choices[choices.length - 1].picked === choices[choices.length - 1].outcomes - 1)
      choices.pop();
    if (choices.length === 0) return runCount;
    choices[choices.length - 1].picked += 1;
  }
}
/** A process on a disk. It completes `syncs` syncs and stops in the middle of the next one. */
function processOn(disk: SimDisk, syncs: number, overrides: Overrides = {}): Environment {
  let syncsLeft = syncs;
  const wait = function* (): Task<void> {
    if ((syncsLeft -= 1) < 0) throw processStopped;
  };
  const steps = disk.steps("p", wait);
  const durable: Disk = new DurableDisk({ ...steps, ...overrides.steps?.(steps) });
  return {
    name: "p",
    disk: Object.assign(durable, overrides.disk?.(durable)),
    log: () => undefined,
    faultPoint: () => undefined,
  } as unknown as Environment;
}
/** Runs a task that never waits. Returns false if its process stopped before the end. */
function completes(task: Task<unknown>): boolean {
  try {
    const step = task.next();
    if (!step.done) throw new Error("a task waited");
    return true;
  } catch (error) {
    if (error instanceof ProcessStopped) return false;
    throw error;
  }
}
const emptyDisk = (): SimDisk => {
  const disk = new SimDisk(new SimWorld(1));
  completes(disk.steps("setup", function* () {}).makeFolder("mount"));
  completes(disk.steps("setup", function* () {}).syncFolder("."));
  return disk;
};

/** Greatest numbers that were acknowledged and written so far, and the id of the node. */
type Progress = { acknowledged: number; written: number; id?: string };
/**
 * One run of a node: opens its folder and checks what it reads there. Each round appends one number, then two together,
 * and writes a checkpoint.
 */
function* runNode(env: Environment, progress: Progress, rounds: number): Task<void> {
  const opened = yield* DataFolder.open(env, FOLDER, "a:1", {
    id: `node-${progress.written}`,
    cluster: "c",
    program: "control",
  });
  if (!opened.ok) throw new Error(opened.fault.detail);
  if (progress.id !== undefined && progress.id !== opened.value)
    throw new Error(`was ${progress.id}, is ${opened.value}`);
  progress.id = opened.value;
  const log = new CheckpointedLog(env, `${FOLDER}/group`);
  const read = yield* log.open();
  if (!read.ok) throw new Error(read.fault.detail);
  const upTo = (read.value.state as { upTo: number } | undefined)?.upTo ?? 0;
  const records = read.value.records as number[];
  const last = records.length > 0 ? records[records.length - 1] : upTo;
  const expected = Array.from({ length: last - upTo }, (_each, index) => upTo + index + 1);
  if (JSON.stringify(records) !== JSON.stringify(expected)) throw new Error(`after ${upTo}: ${records.join(" ")}`);
  if (last < progress.acknowledged || last > progress.written)
    throw new Error(`${last} read, ${progress.acknowledged} acknowledged, ${progress.written} written`);
  // Everything read counts as acknowledged from now on, because a voter acknowledges the entries that it has.
  progress.acknowledged = last;
  progress.written = last;
  for (let round = 0; round < rounds; round += 1) {
    for (const count of [1, 2]) {
      const numbers = Array.from({ length: count }, (_each, index) => progress.written + index + 1);
      progress.written += count;
      if ((yield* log.append(numbers)).ok) progress.acknowledged = progress.written;
    }
    yield* log.checkpoint({ upTo: progress.written });
  }
}
/**
 * How the first run of the node ended: by a power loss, or by a kill after which the machine keeps everything written.
 */
type FirstStop = "power" | "kill";
/** Stops the first run at each sync, after a kill also the second run at each sync. Then the power is lost. */
function runAll(firstStop: FirstStop, overrides?: Overrides): { runCount: number; points: number } {
  let runCount = 0;
  let points = 0;
  const rounds = { power: 3, kill: 1 }[firstStop];
  for (let first = 0, firstEnded = false; !firstEnded; first += 1)
    for (let second = 0, secondEnded = false; !secondEnded; second += 1) {
      points += 1;
      runCount += runEveryOutcome((loss) => {
        const disk = emptyDisk();
        const progress: Progress = { acknowledged: 0, written: 0 };
        const firstCompleted = completes(runNode(processOn(disk, first, overrides), progress, rounds));
        firstEnded = firstCompleted;
        if (progress.acknowledged === 0) progress.id = undefined; // nobody knows the id yet
        if (firstStop === "kill") {
          secondEnded = completes(runNode(processOn(disk, second, overrides), progress, 1));
          if (progress.acknowledged === 0) progress.id = undefined;
        } else secondEnded = true;
        disk.losePower(loss);
        if (!completes(runNode(processOn(disk, Infinity, overrides), progress, 1)))
          throw new Error("the last run stopped");
      });
    }
  return { runCount, points };
}

test("after a power loss at any sync, with each name kept or lost and each write kept, missing or torn independently, a node starts again and has everything it acknowledged", () => {
  const { runCount, points } = runAll("power");
  expect(points).toBeGreaterThan(20);
  expect(runCount).toBeGreaterThan(100);
});
test("a process killed at any sync and started again, whose power is lost at any later sync, has everything that the second run read or acknowledged", () => {
  const { runCount, points } = runAll("kill");
  expect(points).toBeGreaterThan(100);
  expect(runCount).toBeGreaterThan(1000);
}, 60_000);

const writeInPlace = (steps: DiskSteps): Partial<DiskSteps> => ({
  rename: noOperation,
  writeAndSync: (file, mode, data) => steps.writeAndSync(file.replace(/\.new$/, ""), mode, data),
});
const skipFolderSyncStep = (matches: (path: string) => boolean) => ({
  steps: (steps: DiskSteps): Partial<DiskSteps> => ({
    syncFolder: (path) => (matches(path) ? noOperation() : steps.syncFolder(path)),
  }),
});
const skipFolderSync = (matches: (path: string) => boolean) => ({
  disk: (disk: Disk): Partial<Disk> => {
    const { syncFolder } = disk;
    return { syncFolder: (path) => (matches(path) ? noOperation() : syncFolder(path)) };
  },
});
test.each<[string, FirstStop, Overrides, string]>([
  ["the sync of a created folder's parent", "power", skipFolderSyncStep((path) => path === FOLDER), "has no identity"],
  [
    "the sync of a renamed file's folder",
    "power",
    skipFolderSyncStep((path) => path.endsWith("group")),
    "acknowledged",
  ],
  ["the rename of completely written files", "power", { steps: writeInPlace }, "belongs to nobody readable"],
  ["the sync of a log found at start", "kill", { disk: () => ({ syncFile: noOperation }) }, "acknowledged"],
  ["the sync of names found in the data folder", "kill", skipFolderSync((path) => path === FOLDER), "no identity"],
  ["the sync of names found in the log's folder", "kill", skipFolderSync((path) => path !== FOLDER), "acknowledged"],
])("without %s a run fails", (_name, firstStop, overrides, error) => {
  expect(() => runAll(firstStop, overrides)).toThrow(error);
});
function* noOperation(): Task<{ ok: true; value: true }> {
  return { ok: true, value: true };
}
