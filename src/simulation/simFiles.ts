/** Decides what becomes of each unsynced change when power is lost: one of so many outcomes, 0 for lost, the last for kept. */
export interface PowerLoss {
  pickOutcome(outcomes: number): number;
  /** Where a write of so many bytes is torn. */
  pickTearOffset(bytes: number): number;
}
/** A change of a file's content. */
export type ContentChange = { tag: "write"; offset: number; data: Buffer } | { tag: "resize"; size: number };
/** A change of a folder's names. */
export type NameChange =
  | { tag: "made"; name: string; node: SimNode }
  | { tag: "renamed"; from: string; to: string; node: SimNode }
  | { tag: "removed"; name: string };
/** A file or folder. */
export type SimNode = SimFile | SimFolder;

/** What becomes of an unsynced write when power is lost. */
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
function applyNameChange(names: Map<string, SimNode>, change: NameChange): void {
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

/** A file: its content as processes see it, its durable content, and the changes between the two. */
export class SimFile {
  content: Buffer = Buffer.alloc(0);
  durable: Buffer = Buffer.alloc(0);
  private pending: ContentChange[] = [];
  private syncFailed = false;
  change(change: ContentChange): void {
    this.content = applyChange(this.content, change);
    this.pending.push(change);
  }
  /** The changes that a sync which begins now will cover. */
  unsynced = (): ContentChange[] => [...this.pending];
  synced(covered: ContentChange[]): void {
    const done = new Set(covered);
    // after a failed sync nobody knows what is durable, also if a later one succeeds
    if (this.syncFailed) return;
    for (const change of this.pending) if (done.has(change)) this.durable = applyChange(this.durable, change);
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
/** A folder: its names as processes see them, its durable names, and the changes between the two. */
export class SimFolder {
  readonly names = new Map<string, SimNode>();
  durable = new Map<string, SimNode>();
  private pending: NameChange[] = [];
  change(change: NameChange): void {
    applyNameChange(this.names, change);
    this.pending.push(change);
  }
  /** The changes that a sync which begins now will cover. */
  unsynced = (): NameChange[] => [...this.pending];
  synced(covered: NameChange[]): void {
    const done = new Set(covered);
    for (const change of this.pending) if (done.has(change)) applyNameChange(this.durable, change);
    this.pending = this.pending.filter((change) => !done.has(change));
  }
  losePower(loss: PowerLoss, seen: Set<SimNode>): void {
    for (const change of this.pending) if (loss.pickOutcome(2) === 1) applyNameChange(this.durable, change);
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
