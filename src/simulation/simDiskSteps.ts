import { Task } from "../runtime/csp";
import { DiskSteps } from "../runtime/diskSteps";
import { Fault, Result } from "../common/fault";
import { SimFile, SimFolder, SimFileOrFolder } from "./simFiles";

/** Free space of a disk that is not full. */
const UNLIMITED_BYTES = 1e12;

/** What the elementary operations need from their disk. */
export interface SteppedDisk {
  readonly failing: boolean;
  readonly syncFailing: boolean;
  readonly full: boolean;
  /** Number of syncs that succeeded. */
  syncCount: number;
  find(path: string): SimFileOrFolder | undefined;
  /** The folder that contains a path, and the last part of the path; undefined if there is no such folder. */
  parentOf(path: string): { folder: SimFolder; name: string } | undefined;
  /** The file at a path, created if it does not exist; undefined if there is no folder for it. */
  findOrCreateFile(path: string): SimFile | undefined;
}

/**
 * The elementary disk operations on simulated files. Each sync runs `wait` and then covers the changes that were there when
 * it began.
 *
 * @param name of the process, for faults
 */
export function simDiskSteps(disk: SteppedDisk, name: string, wait: () => Task<void>): DiskSteps {
  const fail = (step: string, code: string): Result<never> => Fault.fail("disk", step, name, code);
  const writeFault = (step: string): Result<never> | undefined =>
    disk.failing ? fail(step, "EIO") : disk.full ? fail(step, "ENOSPC") : undefined;
  const syncContent = function* (step: string, file: SimFile): Task<Result<true>> {
    const covered = file.unsyncedChanges();
    yield* wait();
    if (disk.failing || disk.syncFailing) {
      file.recordFailedSync();
      return fail(step, "EIO");
    }
    disk.syncCount += 1;
    file.recordSync(covered);
    return Fault.ok(true as const);
  };
  return {
    *read(path) {
      const entry = disk.find(path);
      return Fault.ok(entry instanceof SimFile ? Buffer.from(entry.content) : undefined);
    },
    *list(path) {
      const entry = disk.find(path);
      return Fault.ok(entry instanceof SimFolder ? [...entry.names.keys()].sort() : []);
    },
    *exists(path) {
      return Fault.ok(disk.find(path) instanceof SimFolder);
    },
    *makeFolder(path) {
      const location = disk.parentOf(path);
      if (!location) return fail(`make ${path}`, "ENOENT");
      const fault = writeFault(`make ${path}`);
      if (location.folder.names.has(location.name)) return Fault.ok(true as const);
      if (fault) return fault;
      location.folder.change({ tag: "created", name: location.name, entry: new SimFolder() });
      return Fault.ok(true as const);
    },
    *writeAndSync(path, mode, data) {
      const step = `${mode === "append" ? "append" : "write"} ${path}`;
      const fault = writeFault(step);
      if (fault) return fault;
      const file = disk.findOrCreateFile(path);
      if (!file) return fail(step, "ENOENT");
      if (mode === "replace" && file.content.length > 0) file.change({ tag: "resize", size: 0 });
      if (data.length > 0) file.change({ tag: "write", offset: file.content.length, data: Buffer.from(data) });
      return yield* syncContent(step, file);
    },
    *truncateAndSync(path, size) {
      const file = disk.find(path);
      if (!(file instanceof SimFile)) return fail(`truncate ${path}`, "ENOENT");
      file.change({ tag: "resize", size });
      return yield* syncContent(`truncate ${path}`, file);
    },
    *syncFile(path) {
      const file = disk.find(path);
      if (!(file instanceof SimFile)) return fail(`sync ${path}`, "ENOENT");
      return yield* syncContent(`sync ${path}`, file);
    },
    *syncFolder(path) {
      const folder = disk.find(path);
      if (!(folder instanceof SimFolder)) return fail(`sync ${path}`, "ENOENT");
      const covered = folder.unsyncedChanges();
      yield* wait();
      if (disk.failing || disk.syncFailing) return fail(`sync ${path}`, "EIO");
      disk.syncCount += 1;
      folder.recordSync(covered);
      return Fault.ok(true as const);
    },
    *rename(from, to) {
      const [source, target] = [disk.parentOf(from), disk.parentOf(to)];
      const entry = source?.folder.names.get(source.name);
      if (!source || !entry || source.folder !== target?.folder) return fail(`rename ${from}`, "ENOENT");
      if (disk.failing) return fail(`rename ${from}`, "EIO");
      source.folder.change({ tag: "renamed", from: source.name, to: target.name, entry });
      return Fault.ok(true as const);
    },
    *remove(path) {
      const location = disk.parentOf(path);
      if (location?.folder.names.has(location.name)) location.folder.change({ tag: "removed", name: location.name });
      return Fault.ok(true as const);
    },
    *freeBytes() {
      return Fault.ok(disk.full ? 0 : UNLIMITED_BYTES);
    },
    /** Locks nothing, since each simulated process has its own disk. It leaves a lock file, as the production code does. */
    *lock(folder, owner) {
      disk.findOrCreateFile(`${folder}/lock`)?.change({ tag: "write", offset: 0, data: Buffer.from(owner) });
      return Fault.ok(true as const);
    },
  };
}
