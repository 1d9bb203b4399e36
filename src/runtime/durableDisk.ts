import { Fault, Result } from "../common/fault";
import { Task } from "./csp";
import { DiskSteps } from "./diskSteps";
import { Disk } from "./env";

const parentOf = (path: string): string => {
  const slash = path.lastIndexOf("/");
  return slash > 0 ? path.slice(0, slash) : slash === 0 ? "/" : ".";
};
const isRoot = (path: string): boolean => path === "/" || path === "." || path === "";

/**
 * A disk whose writes are atomic and durable. The order of the steps of each write ensures that after a power loss at any
 * point the file has either its former content or all of the new content. Once the write has returned ok, the new
 * content, the name of the file, and the names of all folders above it from the data folder on are durable.
 *
 * @example
 * const disk = new DurableDisk(steps);
 * yield* disk.lock("/data/petrelbeam", "10.0.0.1:7660");
 * yield* disk.write("/data/petrelbeam/group/slot-a", bytes);
 */
export class DurableDisk implements Disk {
  private dataFolder: string | undefined;
  /** Folders that exist and whose names this process has synced. */
  private readonly prepared = new Set<string>();
  /** Names of the temporary files that are being written. */
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
  // All operations are own properties, so that a disk can be wrapped with the spread syntax.
  write = (file: string, data: Buffer): Task<Result<true>> => this.writeAtomically(file, data);
  lock = (folder: string, owner: string): Task<Result<true>> => this.lockFolder(folder, owner);

  private *writeAtomically(file: string, data: Buffer): Task<Result<true>> {
    const prepared = yield* this.prepareFolder(parentOf(file));
    if (!prepared.ok) return prepared;
    const temporary = this.temporaryName(file);
    this.writing.add(temporary);
    try {
      const replaced = yield* this.replace(file, temporary, data);
      if (!replaced.ok) {
        this.prepared.clear(); // A prepared folder may have been removed.
        // It takes up room, and after a failed sync a later one proves nothing about its content.
        yield* this.steps.remove(temporary);
      }
      return replaced;
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
  /**
   * Returns a name that no concurrent write uses. A temporary file that an earlier process left behind is overwritten by
   * the next write of the same file.
   */
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
   * Creates a folder, with its parents, and syncs its name. The data folder and the folders below it may have been
   * created by a process that was killed before it synced their names, so each process syncs them once even if they
   * exist. An existing folder above the data folder was created by the operator and is not synced.
   */
  private *prepareFolder(folder: string): Task<Result<true>> {
    if (isRoot(folder) || this.prepared.has(folder)) return Fault.ok(true as const);
    const exists = yield* this.steps.exists(folder);
    if (!exists.ok) return exists;
    if (exists.value && !this.isInDataFolder(folder)) return Fault.ok(true as const);
    const parent = parentOf(folder);
    const parentPrepared = yield* this.prepareFolder(parent);
    if (!parentPrepared.ok) return parentPrepared;
    const created = yield* this.steps.makeFolder(folder);
    if (!created.ok) return created;
    const synced = yield* this.steps.syncFolder(parent);
    if (!synced.ok) return synced;
    this.prepared.add(folder);
    return Fault.ok(true as const);
  }
  private isInDataFolder = (folder: string): boolean =>
    this.dataFolder !== undefined && (folder === this.dataFolder || folder.startsWith(`${this.dataFolder}/`));
}
