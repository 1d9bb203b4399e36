import { Csp, Task } from "../runtime/csp";
import { DurableDisk } from "../runtime/durableDisk";
import { DiskSteps } from "../runtime/diskSteps";
import { Disk } from "../runtime/env";
import { simDiskSteps, SteppedDisk } from "./simDiskSteps";
import { PowerLoss, SimFile, SimFolder, SimFileOrFolder } from "./simFiles";

export type { PowerLoss } from "./simFiles";

/** Longest additional duration of a slow sync. */
const SLOW_SYNC_MS = 60;
/** Share of power losses that lose all unsynced changes. In the same share of power losses all of them are kept. */
const CORRELATED_LOSS_SHARE = 0.25;
/** Offset of the byte that damage() inverts. It lies behind the header of every file format. */
const DAMAGED_BYTE_OFFSET = 18;

/** What a disk needs from the simulated world. */
export interface DiskHost {
  random(): number;
  /** Runs an action after a delay. */
  schedule(delayMs: number, run: () => void): void;
  /** Share of syncs that are slow. */
  readonly slowDiskShare: number;
}
/** What a disk needs from the process that uses it. */
export interface DiskUser {
  readonly name: string;
  /** Runs an action in the process, unless the process has ended. */
  deliver(run: () => void): void;
}

const partsOf = (path: string): string[] => path.split("/").filter((part) => part !== "" && part !== ".");

/**
 * A simulated disk that guarantees only what was synced. The kill of a process loses nothing that it wrote. A power loss
 * decides independently for each unsynced change: a write to a file is kept, lost or torn; the creation, renaming or
 * removal of a name in a folder is kept or lost. Some power losses lose all unsynced changes, others keep all of them.
 */
export class SimDisk implements SteppedDisk {
  private root = new SimFolder();
  /** Whether writes and syncs fail with EIO. */
  failing = false;
  /** Whether syncs fail with EIO, while writes succeed. */
  syncFailing = false;
  /** Whether writes fail with ENOSPC. */
  full = false;
  /** Duration of a sync in ms: minimum, and maximum of the random part. */
  syncMs: [number, number] = [0.3, 2.5];
  syncCount = 0;
  constructor(private readonly world: DiskHost) {}

  /** Simulates a power loss, by default with random outcomes. */
  losePower(loss: PowerLoss = this.randomLoss()): void {
    this.root.losePower(loss, new Set());
  }
  private randomLoss(): PowerLoss {
    const draw = this.world.random();
    const pickOutcome = (outcomes: number): number => {
      if (draw < CORRELATED_LOSS_SHARE) return 0;
      if (draw < 2 * CORRELATED_LOSS_SHARE) return outcomes - 1;
      return Math.min(outcomes - 1, Math.floor(this.world.random() * outcomes));
    };
    return { pickOutcome, pickTearOffset: (bytes) => Math.floor(this.world.random() * bytes) };
  }
  /** Replaces the disk by an empty one without faults. */
  wipe(): void {
    this.root = new SimFolder();
    this.failing = false;
    this.syncFailing = false;
    this.full = false;
  }
  /** Durable content of all files below a folder, by path relative to it. */
  under(folder: string): Map<string, Buffer> {
    const found = new Map<string, Buffer>();
    const collect = (entry: SimFileOrFolder | undefined, path: string): void => {
      if (entry instanceof SimFile) found.set(path, entry.durable);
      else entry?.durable.forEach((child, name) => collect(child, path ? `${path}/${name}` : name));
    };
    let entry: SimFileOrFolder | undefined = this.root;
    for (const name of partsOf(folder)) entry = entry instanceof SimFolder ? entry.durable.get(name) : undefined;
    collect(entry, "");
    return found;
  }
  /** Inverts one byte in each matching file that is long enough, and returns the paths of the damaged files. */
  damage(matches: (path: string) => boolean): string[] {
    const damagedPaths: string[] = [];
    const invertByte = (data: Buffer): Buffer => {
      if (data.length <= DAMAGED_BYTE_OFFSET + 2) return data;
      const copy = Buffer.from(data);
      copy[DAMAGED_BYTE_OFFSET] ^= 0xff;
      return copy;
    };
    const visit = (folder: SimFolder, path: string): void => {
      for (const [name, entry] of folder.names) {
        const filePath = path ? `${path}/${name}` : name;
        if (entry instanceof SimFolder) visit(entry, filePath);
        else if (matches(filePath) && entry.content.length > DAMAGED_BYTE_OFFSET + 2) {
          const isSynced = entry.durable === entry.content;
          entry.content = invertByte(entry.content);
          entry.durable = isSynced ? entry.content : invertByte(entry.durable);
          damagedPaths.push(filePath);
        }
      }
    };
    visit(this.root, "");
    return damagedPaths;
  }

  /** The file or folder at a path; undefined if it does not exist. */
  find(path: string): SimFileOrFolder | undefined {
    let entry: SimFileOrFolder | undefined = this.root;
    for (const name of partsOf(path)) entry = entry instanceof SimFolder ? entry.names.get(name) : undefined;
    return entry;
  }
  /** The folder that contains a path, and the last part of the path; undefined if there is no such folder. */
  parentOf(path: string): { folder: SimFolder; name: string } | undefined {
    const parts = partsOf(path);
    const name = parts.pop() ?? "";
    const folder = this.find(parts.join("/"));
    return folder instanceof SimFolder ? { folder, name } : undefined;
  }
  /** The file at a path, created if it does not exist; undefined if there is no folder for it. */
  findOrCreateFile(path: string): SimFile | undefined {
    const location = this.parentOf(path);
    if (!location) return undefined;
    const found = location.folder.names.get(location.name);
    if (found instanceof SimFile) return found;
    const file = new SimFile();
    location.folder.change({ tag: "created", name: location.name, entry: file });
    return file;
  }

  /** The interface of this disk for a process. Syncs take virtual time. */
  forProcess(process: DiskUser): Disk {
    const disk = this;
    const wait = function* (): Task<void> {
      const [base, spread] = disk.syncMs;
      const additionalMs = disk.world.random() < disk.world.slowDiskShare ? SLOW_SYNC_MS * disk.world.random() : 0;
      const synced = Csp.chan<true>(1);
      disk.world.schedule(base + spread * disk.world.random() + additionalMs, () =>
        process.deliver(() => synced.close()),
      );
      yield* Csp.take(synced);
    };
    return new DurableDisk(this.steps(process.name, wait));
  }
  /** The elementary operations of this disk. Each sync runs `wait` before it takes effect. */
  steps(name: string, wait: () => Task<void>): DiskSteps {
    return simDiskSteps(this, name, wait);
  }
}
