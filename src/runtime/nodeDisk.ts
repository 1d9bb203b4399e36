import * as fs from "fs";
import * as path from "path";
import { Csp, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { DiskSteps } from "./diskSteps";

type LockHolder = { pid: number; startTime: string; owner: string };
/**
 * Returns the holder that a lock file names; undefined if the file is incomplete. The file is written without a sync,
 * since no holder survives a power loss. What such a loss leaves of it (nothing, a number, a truncated address) does not
 * count as a lock.
 */
function parseLock(text: string): LockHolder | undefined {
  const match = /^(\d+) (\d+) (\S+)\n$/.exec(text);
  return match ? { pid: +match[1], startTime: match[2], owner: match[3] } : undefined;
}
/** Returns the start time of a process, which distinguishes it from a later process with the same id. */
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
  const holder = parseLock(await fs.promises.readFile(file, "utf8").catch(() => ""));
  const isHeldByAnother =
    holder && holder.owner !== owner && holder.pid !== process.pid && startTimeOf(holder.pid) === holder.startTime;
  if (isHeldByAnother) throw new Error(`${folder} is in use by process ${holder.pid}`);
  await fs.promises.writeFile(file, `${process.pid} ${startTimeOf(process.pid)} ${owner}\n`);
}

/** Returns an error handler that gives a default if a file or folder does not exist, and rethrows all other errors. */
const ifMissing =
  <T>(defaultValue: T) =>
  (error: NodeJS.ErrnoException): T => {
    if (error.code === "ENOENT") return defaultValue;
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
 * The steps of a disk on the file system of the operating system.
 *
 * @example
 * const disk = new DurableDisk(NodeDisk.steps("store-1"));
 */
export const NodeDisk = {
  /** Returns the steps; their faults name `name` as the member. */
  steps(name: string): DiskSteps {
    const attempt = function* <T>(step: string, operation: () => Promise<T>): Task<Result<T>> {
      const chan = Csp.chan<Result<T>>(1);
      operation().then(
        (value) => Csp.offer(chan, Fault.ok(value)),
        (error: Error) => Csp.offer(chan, Fault.fail("disk", step, name, error.message)),
      );
      return (yield* Csp.take(chan))!;
    };
    const change = (step: string, operation: () => Promise<unknown>): Task<Result<true>> =>
      attempt(step, async () => {
        await operation();
        return true as const;
      });
    return {
      read: (file) => attempt(`read ${file}`, () => fs.promises.readFile(file).catch(ifMissing(undefined))),
      list: (folder) => attempt(`list ${folder}`, () => fs.promises.readdir(folder).catch(ifMissing<string[]>([]))),
      exists: (folder) =>
        attempt(`look for ${folder}`, () =>
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
        attempt(`free ${folder}`, async () => {
          const stats = await fs.promises.statfs(folder);
          return stats.bavail * stats.bsize;
        }),
      lock: (folder, owner) => change(`lock ${folder}`, () => writeLock(folder, owner)),
    };
  },
};
