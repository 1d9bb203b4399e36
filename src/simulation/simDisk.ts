import { Csp, Task } from "../runtime/csp";
import { DiskSteps } from "../runtime/diskSteps";
import { DurableDisk } from "../runtime/durableDisk";
import { Disk } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import type { SimProcess } from "./simProcess";
import type { SimWorld } from "./simWorld";

/** What becomes of each thing that wasn't synced when power is lost: one of so many outcomes, 0 lost, the last one kept. */
export interface PowerLoss {
  pick(outcomes: number): number;
  /** Where a write of so many bytes tears. */
  cut(bytes: number): number;
}
type ContentChange = { tag: "write"; offset: number; data: Buffer } | { tag: "resize"; size: number };
type NameChange =
  | { tag: "made"; name: string; node: SimNode }
  | { tag: "renamed"; from: string; to: string; node: SimNode }
  | { tag: "removed"; name: string };
type SimNode = SimFile | SimFolder;
const writeOutcomes = 4; // missing, the first part, the last part, there

function changed(content: Buffer, change: ContentChange): Buffer {
  if (change.tag === "resize")
    return change.size <= content.length
      ? content.subarray(0, change.size)
      : Buffer.concat([content, Buffer.alloc(change.size - content.length)]);
  if (change.offset === content.length) return Buffer.concat([content, change.data]);
  const copy = Buffer.alloc(Math.max(content.length, change.offset + change.data.length));
  content.copy(copy);
  change.data.copy(copy, change.offset);
  return copy;
}
function rename(names: Map<string, SimNode>, change: NameChange): void {
  switch (change.tag) {
    case "made":
      names.set(change.name, change.node);
      return;
    case "renamed":
      names.delete(change.from);
      names.set(change.to, change.node);
      return;
    case "removed":
      names.delete(change.name);
  }
}

/** Content as processes see it, and as it is on the platter with what is still to come. */
class SimFile {
  content: Buffer = Buffer.alloc(0);
  durable: Buffer = Buffer.alloc(0);
  private pending: ContentChange[] = [];
  private syncFailed = false;
  change(change: ContentChange): void {
    this.content = changed(this.content, change);
    this.pending.push(change);
  }
  /** What a sync that begins now will cover. */
  unsynced = (): ContentChange[] => [...this.pending];
  synced(covered: ContentChange[]): void {
    const done = new Set(covered);
    // after a failed sync nobody knows what is on the platter, also if a later one succeeds
    if (this.syncFailed) return;
    for (const change of this.pending) if (done.has(change)) this.durable = changed(this.durable, change);
    this.pending = this.pending.filter((change) => !done.has(change));
    if (this.pending.length === 0) this.durable = this.content;
  }
  failedSync(): void {
    this.syncFailed = true;
  }
  losePower(loss: PowerLoss): void {
    for (const change of this.pending) this.survive(change, loss);
    this.pending = [];
    this.syncFailed = false;
    this.content = this.durable;
  }
  private survive(change: ContentChange, loss: PowerLoss): void {
    if (change.tag === "resize") {
      if (loss.pick(2) === 1) this.durable = changed(this.durable, change);
      return;
    }
    const outcome = loss.pick(writeOutcomes);
    if (outcome === 0) return;
    const { offset, data } = change;
    const cut = outcome === writeOutcomes - 1 ? data.length : loss.cut(data.length);
    const kept =
      outcome === 2
        ? { tag: "write" as const, offset: offset + cut, data: data.subarray(cut) }
        : { tag: "write" as const, offset, data: data.subarray(0, cut) };
    this.durable = changed(this.durable, kept);
  }
}
/** Names as processes see them, and as they are on the platter with the changes still to come. */
class SimFolder {
  readonly names = new Map<string, SimNode>();
  durable = new Map<string, SimNode>();
  private pending: NameChange[] = [];
  change(change: NameChange): void {
    rename(this.names, change);
    this.pending.push(change);
  }
  unsynced = (): NameChange[] => [...this.pending];
  synced(covered: NameChange[]): void {
    const done = new Set(covered);
    for (const change of this.pending) if (done.has(change)) rename(this.durable, change);
    this.pending = this.pending.filter((change) => !done.has(change));
  }
  losePower(loss: PowerLoss, seen: Set<SimNode>): void {
    for (const change of this.pending) if (loss.pick(2) === 1) rename(this.durable, change);
    this.pending = [];
    this.names.clear();
    for (const [name, node] of this.durable) {
      this.names.set(name, node);
      if (seen.has(node)) continue;
      seen.add(node);
      if (node instanceof SimFile) node.losePower(loss);
      else node.losePower(loss, seen);
    }
  }
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
export class SimDisk {
  private root = new SimFolder();
  failing = false;
  full = false;
  /** Sync times, ms: base and spread. */
  syncMs: [number, number] = [0.3, 2.5];
  syncs = 0;
  constructor(private readonly world: SimWorld) {}

  /** Power is lost. @example disk.losePower(); */
  losePower(loss: PowerLoss = this.randomLoss()): void {
    this.root.losePower(loss, new Set());
  }
  private randomLoss(): PowerLoss {
    const fate = this.world.random();
    return {
      pick: (outcomes) =>
        fate < 0.25
          ? 0
          : fate < 0.5
            ? outcomes - 1
            : Math.min(outcomes - 1, Math.floor(this.world.random() * outcomes)),
      cut: (bytes) => Math.floor(this.world.random() * bytes),
    };
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
      if (data.length <= 20) return data;
      const copy = Buffer.from(data);
      copy[18] ^= 0xff;
      return copy;
    };
    const visit = (folder: SimFolder, path: string): void => {
      for (const [name, node] of folder.names) {
        const full = path ? `${path}/${name}` : name;
        if (node instanceof SimFolder) visit(node, full);
        else if (which(full) && node.content.length > 20) {
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

  private find(path: string): SimNode | undefined {
    let node: SimNode | undefined = this.root;
    for (const part of partsOf(path)) node = node instanceof SimFolder ? node.names.get(part) : undefined;
    return node;
  }
  private folderOf(path: string): { folder: SimFolder; name: string } | undefined {
    const parts = partsOf(path);
    const name = parts.pop() ?? "";
    const folder = this.find(parts.join("/"));
    return folder instanceof SimFolder ? { folder, name } : undefined;
  }
  private fileFor(path: string): SimFile | undefined {
    const place = this.folderOf(path);
    if (!place) return undefined;
    const found = place.folder.names.get(place.name);
    if (found instanceof SimFile) return found;
    const file = new SimFile();
    place.folder.change({ tag: "made", name: place.name, node: file });
    return file;
  }

  /** The disk as a process uses it, in virtual time. @example disk.of(process).read("data/identity") */
  of(process: SimProcess): Disk {
    const disk = this;
    const wait = function* (): Task<void> {
      const [base, spread] = disk.syncMs;
      const slow = disk.world.random() < disk.world.slowDiskShare ? 60 * disk.world.random() : 0;
      const chan = Csp.chan<true>(1);
      disk.world.at(base + spread * disk.world.random() + slow, () => process.deliver(() => chan.close()));
      yield* Csp.take(chan);
    };
    return new DurableDisk(this.steps(process.name, wait));
  }
  /** The single steps; each sync waits so long. @example const steps = disk.steps("p", function* () {}); */
  steps(name: string, wait: () => Task<void>): DiskSteps {
    const disk = this;
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
      disk.syncs += 1;
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
        disk.syncs += 1;
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
      *free() {
        return Fault.ok(disk.full ? 0 : 1e12);
      },
      /** Each simulated process has its own disk; the file stands for what a lock leaves behind. */
      *lock(folder, owner) {
        disk.fileFor(`${folder}/lock`)?.change({ tag: "write", offset: 0, data: Buffer.from(owner) });
        return Fault.ok(true as const);
      },
    };
  }
}
