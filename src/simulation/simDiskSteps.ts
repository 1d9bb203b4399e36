import { Task } from "../runtime/csp";
import { DiskSteps } from "../runtime/diskSteps";
import { Fault, Result } from "../common/fault";
import { SimFile, SimFolder, SimNode } from "./simFiles";

const UNLIMITED_BYTES = 1e12; // bytes; free on a disk that is not full

/** What the steps need of the disk that they work on. */
export interface SteppedDisk {
  readonly failing: boolean;
  readonly full: boolean;
  /** Syncs that succeeded. */
  syncCount: number;
  find(path: string): SimNode | undefined;
  /** The folder that a path is in, and the name that it has there. */
  folderOf(path: string): { folder: SimFolder; name: string } | undefined;
  /** The file at a path, made where it isn't there; undefined where its folder isn't. */
  fileFor(path: string): SimFile | undefined;
}

/**
 * The single steps of a disk, on simulated files; each sync takes as long as `wait`.
 *
 * @param name of the process, for faults
 * @example
 * const steps = simDiskSteps(disk, "store-1", function* () {});
 */
export function simDiskSteps(disk: SteppedDisk, name: string, wait: () => Task<void>): DiskSteps {
  const fail = (step: string, code: string): Result<never> => Fault.fail("disk", step, name, code);
  const refused = (step: string): Result<never> | undefined =>
    disk.failing ? fail(step, "EIO") : disk.full ? fail(step, "ENOSPC") : undefined;
  const syncContent = function* (step: string, file: SimFile): Task<Result<true>> {
    const covered = file.unsynced();
    yield* wait();
    if (disk.failing) {
      file.failedSync();
      return fail(step, "EIO");
    }
    disk.syncCount += 1;
    file.synced(covered);
    return Fault.ok(true as const);
  };
  return {
    *read(path) {
      const node = disk.find(path);
      return Fault.ok(node instanceof SimFile ? Buffer.from(node.content) : undefined);
    },
    *list(path) {
      const node = disk.find(path);
      return Fault.ok(node instanceof SimFolder ? [...node.names.keys()].sort() : []);
    },
    *exists(path) {
      return Fault.ok(disk.find(path) instanceof SimFolder);
    },
    *makeFolder(path) {
      const place = disk.folderOf(path);
      if (!place) return fail(`make ${path}`, "ENOENT");
      const refusal = refused(`make ${path}`);
      if (place.folder.names.has(place.name)) return Fault.ok(true as const);
      if (refusal) return refusal;
      place.folder.change({ tag: "made", name: place.name, node: new SimFolder() });
      return Fault.ok(true as const);
    },
    *writeAndSync(path, mode, data) {
      const step = `${mode === "append" ? "append" : "write"} ${path}`;
      const refusal = refused(step);
      if (refusal) return refusal;
      const file = disk.fileFor(path);
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
      const covered = folder.unsynced();
      yield* wait();
      if (disk.failing) return fail(`sync ${path}`, "EIO");
      disk.syncCount += 1;
      folder.synced(covered);
      return Fault.ok(true as const);
    },
    *rename(from, to) {
      const [source, target] = [disk.folderOf(from), disk.folderOf(to)];
      const node = source?.folder.names.get(source.name);
      if (!source || !node || source.folder !== target?.folder) return fail(`rename ${from}`, "ENOENT");
      if (disk.failing) return fail(`rename ${from}`, "EIO");
      source.folder.change({ tag: "renamed", from: source.name, to: target.name, node });
      return Fault.ok(true as const);
    },
    *remove(path) {
      const place = disk.folderOf(path);
      if (place?.folder.names.has(place.name)) place.folder.change({ tag: "removed", name: place.name });
      return Fault.ok(true as const);
    },
    *freeBytes() {
      return Fault.ok(disk.full ? 0 : UNLIMITED_BYTES);
    },
    /** Each simulated process has its own disk; the file stands for what a lock leaves behind. */
    *lock(folder, owner) {
      disk.fileFor(`${folder}/lock`)?.change({ tag: "write", offset: 0, data: Buffer.from(owner) });
      return Fault.ok(true as const);
    },
  };
}
