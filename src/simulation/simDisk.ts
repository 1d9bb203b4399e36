import { Csp, Task } from "../runtime/csp";
import { DurableDisk } from "../runtime/durableDisk";
import { DiskSteps } from "../runtime/diskSteps";
import { Disk } from "../runtime/env";
import { simDiskSteps, SteppedDisk } from "./simDiskSteps";
import { PowerLoss, SimFile, SimFolder, SimNode } from "./simFiles";

export type { PowerLoss } from "./simFiles";

const SLOW_SYNC_MS = 60; // ms; by which a slow sync takes longer, at most
const CORRELATED_LOSS_SHARE = 0.25; // share of power losses at which everything unsynced is lost, and as many at which all is kept
const DAMAGED_BYTE = 18; // offset of the byte that damage turns: past any header

/** What a disk needs of the world that it is in. */
export interface DiskHost {
  random(): number;
  schedule(inMs: number, run: () => void): void;
  /** Share of syncs that take much longer than the others. */
  readonly slowDiskShare: number;
}
/** What a disk needs of the process that uses it. */
export interface DiskUser {
  readonly name: string;
  deliver(run: () => void): void;
}

const partsOf = (path: string): string[] => path.split("/").filter((part) => part !== "" && part !== ".");

/**
 * A disk that keeps what was synced and no more. A killed process leaves everything that it wrote. After a loss of power
 * each write since the file's last sync is there, missing or torn, and each name that was made, renamed or removed since
 * its folder's last sync is kept or lost, all by themselves; at times everything later is lost at once.
 *
 * @example
 * const disk = new SimDisk(world);
 * disk.failing = true;
 */
export class SimDisk implements SteppedDisk {
  private root = new SimFolder();
  failing = false;
  full = false;
  /** Sync times, ms: base and spread. */
  syncMs: [number, number] = [0.3, 2.5];
  syncCount = 0;
  constructor(private readonly world: DiskHost) {}

  /** Power is lost. @example disk.losePower(); */
  losePower(loss: PowerLoss = this.randomLoss()): void {
    this.root.losePower(loss, new Set());
  }
  private randomLoss(): PowerLoss {
    const drawn = this.world.random();
    const pick = (outcomes: number): number => {
      if (drawn < CORRELATED_LOSS_SHARE) return 0;
      if (drawn < 2 * CORRELATED_LOSS_SHARE) return outcomes - 1;
      return Math.min(outcomes - 1, Math.floor(this.world.random() * outcomes));
    };
    return { pickOutcome: pick, pickTearOffset: (bytes) => Math.floor(this.world.random() * bytes) };
  }
  /** Everything is lost. @example disk.wipe(); */
  wipe(): void {
    this.root = new SimFolder();
    this.failing = false;
    this.full = false;
  }
  /** The synced files below a folder, by name. @example disk.under("data/store-1/shard-3").get("slot-a") */
  under(folder: string): Map<string, Buffer> {
    const found = new Map<string, Buffer>();
    const collect = (node: SimNode | undefined, path: string): void => {
      if (node instanceof SimFile) found.set(path, node.durable);
      else node?.durable.forEach((child, name) => collect(child, path ? `${path}/${name}` : name));
    };
    let node: SimNode | undefined = this.root;
    for (const part of partsOf(folder)) node = node instanceof SimFolder ? node.durable.get(part) : undefined;
    collect(node, "");
    return found;
  }
  /** Turns bits of a file. @example disk.damage((path) => path.endsWith("slot-a")) */
  damage(which: (path: string) => boolean): string[] {
    const hit: string[] = [];
    const turn = (data: Buffer): Buffer => {
      if (data.length <= DAMAGED_BYTE + 2) return data;
      const copy = Buffer.from(data);
      copy[DAMAGED_BYTE] ^= 0xff;
      return copy;
    };
    const visit = (folder: SimFolder, path: string): void => {
      for (const [name, node] of folder.names) {
        const full = path ? `${path}/${name}` : name;
        if (node instanceof SimFolder) visit(node, full);
        else if (which(full) && node.content.length > DAMAGED_BYTE + 2) {
          const whole = node.durable === node.content;
          node.content = turn(node.content);
          node.durable = whole ? node.content : turn(node.durable);
          hit.push(full);
        }
      }
    };
    visit(this.root, "");
    return hit;
  }

  /** @example disk.find("data/identity") */
  find(path: string): SimNode | undefined {
    let node: SimNode | undefined = this.root;
    for (const part of partsOf(path)) node = node instanceof SimFolder ? node.names.get(part) : undefined;
    return node;
  }
  /** @example disk.folderOf("data/identity")?.name // "identity" */
  folderOf(path: string): { folder: SimFolder; name: string } | undefined {
    const parts = partsOf(path);
    const name = parts.pop() ?? "";
    const folder = this.find(parts.join("/"));
    return folder instanceof SimFolder ? { folder, name } : undefined;
  }
  /** @example disk.fileFor("data/identity") */
  fileFor(path: string): SimFile | undefined {
    const place = this.folderOf(path);
    if (!place) return undefined;
    const found = place.folder.names.get(place.name);
    if (found instanceof SimFile) return found;
    const file = new SimFile();
    place.folder.change({ tag: "made", name: place.name, node: file });
    return file;
  }

  /** The disk as a process uses it, in virtual time. @example disk.of(process).read("data/identity") */
  forProcess(process: DiskUser): Disk {
    const disk = this;
    const wait = function* (): Task<void> {
      const [base, spread] = disk.syncMs;
      const slow = disk.world.random() < disk.world.slowDiskShare ? SLOW_SYNC_MS * disk.world.random() : 0;
      const chan = Csp.chan<true>(1);
      disk.world.schedule(base + spread * disk.world.random() + slow, () => process.deliver(() => chan.close()));
      yield* Csp.take(chan);
    };
    return new DurableDisk(this.steps(process.name, wait));
  }
  /** The single steps; each sync waits so long. @example const steps = disk.steps("p", function* () {}); */
  steps(name: string, wait: () => Task<void>): DiskSteps {
    return simDiskSteps(this, name, wait);
  }
}
