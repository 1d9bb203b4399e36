import { Fault, Result } from "../common/fault";
import { Task } from "./csp";
import { DiskSteps } from "./diskSteps";
import { Disk } from "./env";

const parentOf = (path: string): string => {
  const cut = path.lastIndexOf("/");
  return cut > 0 ? path.slice(0, cut) : cut === 0 ? "/" : ".";
};
const isTop = (path: string): boolean => path === "/" || path === "." || path === "";

/**
 * Writes that last: each operation that changes something puts the single steps of the disk in such an order that after a
 * loss of power at any point the file holds either what it held before or all of what was written, and, once the operation
 * returned ok, the latter, under its name, with every folder above it up to the data folder's parent.
 *
 * @example
 * const disk = new DurableDisk(steps);
 * yield* disk.lock("/data/petrelbeam", "10.0.0.1:7660");
 * yield* disk.write("/data/petrelbeam/group/slot-a", bytes);
 */
export class DurableDisk implements Disk {
  private dataFolder: string | undefined;
  /** Folders that are there, with their names synced by this process. */
  private readonly prepared = new Set<string>();
  /** Temporary files that are being written. */
  private readonly writing = new Set<string>();
  constructor(private readonly steps: DiskSteps) {}

  read = (file: string): Task<Result<Buffer | undefined>> => this.steps.read(file);
  list = (folder: string): Task<Result<string[]>> => this.steps.list(folder);
  freeBytes = (folder: string): Task<Result<number>> => this.steps.freeBytes(folder);
  syncFile = (file: string): Task<Result<true>> => this.steps.syncFile(file);
  syncFolder = (folder: string): Task<Result<true>> => this.steps.syncFolder(folder);
  append = (file: string, data: Buffer): Task<Result<true>> => this.steps.writeAndSync(file, "append", data);
  truncate = (file: string, size: number): Task<Result<true>> => this.steps.truncateAndSync(file, size);
  remove = (file: string): Task<Result<true>> => this.steps.remove(file);
  // own properties, all of them: a disk is at times wrapped by spreading it
  write = (file: string, data: Buffer): Task<Result<true>> => this.writeWhole(file, data);
  lock = (folder: string, owner: string): Task<Result<true>> => this.lockFolder(folder, owner);

  private *writeWhole(file: string, data: Buffer): Task<Result<true>> {
    const prepared = yield* this.prepareFolder(parentOf(file));
    if (!prepared.ok) return prepared;
    const temporary = this.temporaryName(file);
    this.writing.add(temporary);
    try {
      const done = yield* this.replace(file, temporary, data);
      if (!done.ok) this.prepared.clear(); // a folder may have been taken away
      return done;
    } finally {
      this.writing.delete(temporary);
    }
  }
  private *replace(file: string, temporary: string, data: Buffer): Task<Result<true>> {
    const written = yield* this.steps.writeAndSync(temporary, "replace", data);
    if (!written.ok) return written;
    const renamed = yield* this.steps.rename(temporary, file);
    if (!renamed.ok) return renamed;
    return yield* this.steps.syncFolder(parentOf(file));
  }
  /** A file left by a former process is overwritten by the next write of the same name. */
  private temporaryName(file: string): string {
    let name = `${file}.new`;
    while (this.writing.has(name)) name = `${name}.new`;
    return name;
  }

  private *lockFolder(folder: string, owner: string): Task<Result<true>> {
    this.dataFolder = folder;
    const prepared = yield* this.prepareFolder(folder);
    if (!prepared.ok) return prepared;
    return yield* this.steps.lock(folder, owner);
  }
  /**
   * Makes a folder and syncs its name in its parent. A folder below the data folder that is there already may have been
   * made by a process that was killed before it synced the name, so the name is synced once by each process. A folder above
   * the data folder that is there already is the operator's.
   */
  private *prepareFolder(folder: string): Task<Result<true>> {
    if (isTop(folder) || this.prepared.has(folder)) return Fault.ok(true as const);
    const exists = yield* this.steps.exists(folder);
    if (!exists.ok) return exists;
    if (exists.value && !this.isOurs(folder)) return Fault.ok(true as const);
    const parent = parentOf(folder);
    const above = yield* this.prepareFolder(parent);
    if (!above.ok) return above;
    const made = yield* this.steps.makeFolder(folder);
    if (!made.ok) return made;
    const synced = yield* this.steps.syncFolder(parent);
    if (!synced.ok) return synced;
    this.prepared.add(folder);
    return Fault.ok(true as const);
  }
  private isOurs = (folder: string): boolean =>
    this.dataFolder !== undefined && (folder === this.dataFolder || folder.startsWith(`${this.dataFolder}/`));
}
