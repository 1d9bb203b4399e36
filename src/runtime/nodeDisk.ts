import * as fs from "fs";
import * as path from "path";
import { Csp, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { DiskSteps } from "./diskSteps";

type LockHolder = { pid: number; startTime: string; owner: string };
/**
 * Who a lock file names, if it can be read in full. The file is written without a sync, since no holder outlives a loss
 * of power; what such a loss leaves of it (nothing, a number, an address cut short) is no lock.
 */
function lockHolder(text: string): LockHolder | undefined {
  const whole = /^(\d+) (\d+) (\S+)\n$/.exec(text);
  return whole ? { pid: +whole[1], startTime: whole[2], owner: whole[3] } : undefined;
}
/** When a process started, which tells it from a later one of the same number. */
function startTimeOf(pid: number): string | undefined {
  try {
    const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
    return stat.slice(stat.lastIndexOf(")") + 2).split(" ")[19];
  } catch {
    return undefined;
  }
}
async function writeLock(folder: string, owner: string): Promise<void> {
  const file = path.join(folder, "lock");
  const holder = lockHolder(await fs.promises.readFile(file, "utf8").catch(() => ""));
  const heldByAnother =
    holder && holder.owner !== owner && holder.pid !== process.pid && startTimeOf(holder.pid) === holder.startTime;
  if (heldByAnother) throw new Error(`${folder} is in use by process ${holder.pid}`);
  await fs.promises.writeFile(file, `${process.pid} ${startTimeOf(process.pid)} ${owner}\n`);
}

/** What is used instead where there is no such file or folder; any other error is thrown on. */
const ifMissing =
  <T>(instead: T) =>
  (error: NodeJS.ErrnoException): T => {
    if (error.code === "ENOENT") return instead;
    throw error;
  };
async function withFile(file: string, flags: string, body: (handle: fs.promises.FileHandle) => Promise<void>) {
  const handle = await fs.promises.open(file, flags);
  try {
    await body(handle);
  } finally {
    await handle.close();
  }
}

/**
 * The steps of a disk, done by Node's file system calls.
 *
 * @example
 * const disk = new DurableDisk(NodeDisk.steps("store-1"));
 */
export const NodeDisk = {
  /** @example const steps = NodeDisk.steps("store-1"); */
  steps(name: string): DiskSteps {
    const guard = function* <T>(step: string, work: () => Promise<T>): Task<Result<T>> {
      const chan = Csp.chan<Result<T>>(1);
      work().then(
        (value) => Csp.offer(chan, Fault.ok(value)),
        (error: Error) => Csp.offer(chan, Fault.fail("disk", step, name, error.message)),
      );
      return (yield* Csp.take(chan))!;
    };
    const change = (step: string, work: () => Promise<unknown>): Task<Result<true>> =>
      guard(step, async () => {
        await work();
        return true as const;
      });
    return {
      read: (file) => guard(`read ${file}`, () => fs.promises.readFile(file).catch(ifMissing(undefined))),
      list: (folder) => guard(`list ${folder}`, () => fs.promises.readdir(folder).catch(ifMissing<string[]>([]))),
      exists: (folder) =>
        guard(`look for ${folder}`, () =>
          fs.promises
            .stat(folder)
            .then((stats) => stats.isDirectory())
            .catch(ifMissing(false)),
        ),
      makeFolder: (folder) =>
        change(`make ${folder}`, () =>
          fs.promises.mkdir(folder).catch((error: NodeJS.ErrnoException) => {
            if (error.code !== "EEXIST") throw error;
          }),
        ),
      writeAndSync: (file, mode, data) =>
        change(`${mode === "append" ? "append" : "write"} ${file}`, () =>
          withFile(file, mode === "append" ? "a" : "w", async (handle) => {
            await handle.writeFile(data);
            if (mode === "append") await handle.datasync();
            else await handle.sync();
          }),
        ),
      truncateAndSync: (file, size) =>
        change(`truncate ${file}`, () =>
          withFile(file, "r+", async (handle) => {
            await handle.truncate(size);
            await handle.sync();
          }),
        ),
      syncFile: (file) => change(`sync ${file}`, () => withFile(file, "r+", (handle) => handle.sync())),
      syncFolder: (folder) => change(`sync ${folder}`, () => withFile(folder, "r", (handle) => handle.sync())),
      rename: (from, to) => change(`rename ${from}`, () => fs.promises.rename(from, to)),
      remove: (file) => change(`remove ${file}`, () => fs.promises.rm(file, { force: true })),
      freeBytes: (folder) =>
        guard(`free ${folder}`, async () => {
          const stats = await fs.promises.statfs(folder);
          return stats.bavail * stats.bsize;
        }),
      lock: (folder, owner) => change(`lock ${folder}`, () => writeLock(folder, owner)),
    };
  },
};
