/** Decides the outcome of each unsynced change at a power loss. */
export interface PowerLoss {
  /** A number from 0 for lost to `outcomes` - 1 for kept. */
  pickOutcome(outcomes: number): number;
  /** The offset at which a write of that many bytes is torn. */
  pickTearOffset(bytes: number): number;
}
/** A change of a file's content. */
export type ContentChange = { tag: "write"; offset: number; data: Buffer } | { tag: "resize"; size: number };
/** A change of the names in a folder. */
export type NameChange =
  | { tag: "created"; name: string; entry: SimFileOrFolder }
  | { tag: "renamed"; from: string; to: string; entry: SimFileOrFolder }
  | { tag: "removed"; name: string };
export type SimFileOrFolder = SimFile | SimFolder;

/** Outcome of an unsynced write at a power loss. */
const WriteOutcome = { missing: 0, firstPart: 1, lastPart: 2, complete: 3 } as const;
const WRITE_OUTCOMES = Object.keys(WriteOutcome).length;

function applyChange(content: Buffer, change: ContentChange): Buffer {
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
function applyNameChange(names: Map<string, SimFileOrFolder>, change: NameChange): void {
  switch (change.tag) {
    case "created":
      names.set(change.name, change.entry);
      return;
    case "renamed":
      names.delete(change.from);
      names.set(change.to, change.entry);
      return;
    case "removed":
      names.delete(change.name);
  }
}

/** A file with its current content, its durable content and the unsynced changes. */
export class SimFile {
  /** Content that processes read. */
  content: Buffer = Buffer.alloc(0);
  /** Content that survives a power loss. */
  durable: Buffer = Buffer.alloc(0);
  /** Changes that are not durable yet, in order. */
  private pending: ContentChange[] = [];
  private syncFailed = false;
  change(change: ContentChange): void {
    this.content = applyChange(this.content, change);
    this.pending.push(change);
  }
  /** The changes that a sync covers if it begins now. */
  unsyncedChanges = (): ContentChange[] => [...this.pending];
  recordSync(covered: ContentChange[]): void {
    const coveredChanges = new Set(covered);
    // After a failed sync it is unknown which changes are durable, even if a later sync succeeds.
    if (this.syncFailed) return;
    for (const change of this.pending) if (coveredChanges.has(change)) this.durable = applyChange(this.durable, change);
    this.pending = this.pending.filter((change) => !coveredChanges.has(change));
    if (this.pending.length === 0) this.durable = this.content;
  }
  recordFailedSync(): void {
    this.syncFailed = true;
  }
  losePower(loss: PowerLoss): void {
    for (const change of this.pending) this.applyAfterPowerLoss(change, loss);
    this.pending = [];
    this.syncFailed = false;
    this.content = this.durable;
  }
  private applyAfterPowerLoss(change: ContentChange, loss: PowerLoss): void {
    if (change.tag === "resize") {
      if (loss.pickOutcome(2) === 1) this.durable = applyChange(this.durable, change);
      return;
    }
    const outcome = loss.pickOutcome(WRITE_OUTCOMES);
    if (outcome === WriteOutcome.missing) return;
    const { offset, data } = change;
    const tornAt = outcome === WriteOutcome.complete ? data.length : loss.pickTearOffset(data.length);
    const isLastPart = outcome === WriteOutcome.lastPart;
    const surviving = isLastPart ? data.subarray(tornAt) : data.subarray(0, tornAt);
    this.durable = applyChange(this.durable, {
      tag: "write",
      offset: isLastPart ? offset + tornAt : offset,
      data: surviving,
    });
  }
}
/** A folder with its current names, its durable names and the unsynced changes. */
export class SimFolder {
  /** Names that processes see. */
  readonly names = new Map<string, SimFileOrFolder>();
  /** Names that survive a power loss. */
  durable = new Map<string, SimFileOrFolder>();
  private pending: NameChange[] = [];
  change(change: NameChange): void {
    applyNameChange(this.names, change);
    this.pending.push(change);
  }
  /** The changes that a sync covers if it begins now. */
  unsyncedChanges = (): NameChange[] => [...this.pending];
  recordSync(covered: NameChange[]): void {
    const coveredChanges = new Set(covered);
    for (const change of this.pending) if (coveredChanges.has(change)) applyNameChange(this.durable, change);
    this.pending = this.pending.filter((change) => !coveredChanges.has(change));
  }
  losePower(loss: PowerLoss, visited: Set<SimFileOrFolder>): void {
    for (const change of this.pending) if (loss.pickOutcome(2) === 1) applyNameChange(this.durable, change);
    this.pending = [];
    this.names.clear();
    for (const [name, entry] of this.durable) {
      this.names.set(name, entry);
      if (visited.has(entry)) continue;
      visited.add(entry);
      if (entry instanceof SimFile) entry.losePower(loss);
      else entry.losePower(loss, visited);
    }
  }
}
