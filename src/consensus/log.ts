import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { TwoSlots } from "../runtime/twoSlots";
import { Fault, Result } from "../common/fault";
import { ControlState } from "../controlState/controlState";
import { LogEntry } from "./messages";

/** What a slot on disk holds: term and vote, a snapshot, and the synced entries past it. */
export type Saved = {
  term: number;
  votedFor: string;
  baseIndex: number;
  baseTerm: number;
  base: ControlState;
  entries: LogEntry[];
};
/** One record of the file between two slots. */
type LogRecord =
  | { tag: "hard"; term: number; votedFor: string }
  | { tag: "entries"; entries: LogEntry[] }
  | { tag: "cut"; from: number };

/**
 * What a node keeps on disk: term and vote, a snapshot and the entries past it. Whoever writes holds the disk token.
 *
 * @example
 * const log = new ReplicatedLog(new TwoSlots(env, "data/control"));
 * yield* log.open();
 * const voters = log.voters();
 */
export class ReplicatedLog {
  term = 0;
  votedFor = "";
  /** Entries after `startIndex`: those past the snapshot, and some before it for followers a little behind. */
  entries: LogEntry[] = [];
  startIndex = 0;
  startTerm = 0;
  baseIndex = 0;
  baseTerm = 0;
  base = ControlState.empty();
  synced = 0;
  unsynced: LogEntry[] = [];
  writeWake: Chan<true> = Csp.sliding(1);
  diskToken: Chan<true> = Csp.chan(1);
  private readonly entryBytes = new WeakMap<LogEntry, number>();

  constructor(private readonly slots: TwoSlots) {
    Csp.offer(this.diskToken, true);
  }

  /** Reads what this node had on disk. @example yield* log.open(); */
  *open(): Task<Result<true>> {
    const opened = yield* this.slots.open();
    if (!opened.ok) return opened;
    const saved = opened.value.state as Saved | undefined;
    if (saved) {
      this.term = saved.term;
      this.votedFor = saved.votedFor;
      this.baseIndex = saved.baseIndex;
      this.baseTerm = saved.baseTerm;
      this.base = saved.base;
      this.entries = saved.entries;
      this.startIndex = saved.baseIndex;
      this.startTerm = saved.baseTerm;
    }
    for (const noted of opened.value.records as LogRecord[]) {
      if (noted.tag === "hard") {
        this.term = noted.term;
        this.votedFor = noted.votedFor;
      } else if (noted.tag === "entries") this.entries.push(...noted.entries);
      else this.entries = this.entries.filter((entry) => entry.index < noted.from);
    }
    // an earlier version could write entries anew that its snapshot held already
    this.entries = this.entries.filter((entry) => entry.index > this.baseIndex);
    this.synced = this.lastIndex();
    return Fault.ok(true as const);
  }
  /** Whether the disk failed: nothing more is written. */
  broken(): boolean {
    return this.slots.broken;
  }
  /** Whether this node belongs to a founded group. @example if (!log.founded()) yield* found(); */
  founded(): boolean {
    return this.lastIndex() > 0;
  }
  /** Writes the founding entry, the first of all. */
  *found(group: string, voters: string[]): Task<Result<true>> {
    const entry: LogEntry = { index: 1, term: 1, command: { tag: "found", group, voters } };
    const done = yield* this.slots.append([
      { tag: "hard", term: 1, votedFor: "" },
      { tag: "entries", entries: [entry] },
    ] satisfies LogRecord[]);
    if (!done.ok) return done;
    this.term = 1;
    this.entries = [entry];
    this.synced = 1;
    return done;
  }
  /** Everything anew from one snapshot, on disk first. */
  *install(saved: Saved): Task<Result<true>> {
    const done = yield* this.slots.rotate(saved);
    if (!done.ok) return done;
    Object.assign(this, {
      term: saved.term,
      votedFor: saved.votedFor,
      entries: [],
      unsynced: [],
      baseIndex: saved.baseIndex,
      baseTerm: saved.baseTerm,
      base: saved.base,
      startIndex: saved.baseIndex,
      startTerm: saved.baseTerm,
    });
    this.synced = saved.baseIndex;
    return done;
  }
  /** @example log.lastIndex() */
  lastIndex = (): number => (this.entries.length > 0 ? this.entries[this.entries.length - 1].index : this.baseIndex);
  termAt(index: number): number | undefined {
    if (index === this.startIndex) return this.startTerm;
    return this.entries[index - this.startIndex - 1]?.term;
  }
  bytesOf(entry: LogEntry): number {
    const known = this.entryBytes.get(entry);
    if (known !== undefined) return known;
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    this.entryBytes.set(entry, bytes);
    return bytes;
  }
  /** The voters of the newest entry that names them, committed or not. */
  voters(): string[] {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      const command = this.entries[at].command;
      if (command.tag === "voters" || command.tag === "found") return command.voters;
    }
    return this.base.voters;
  }
  /** Whether the log holds the entry that stands at this place in the lead's log. */
  holds = (index: number, term: number): boolean => this.termAt(index) === term;
  /** Appends an entry of this node's own term in memory; the log writer syncs it. */
  append(entry: LogEntry): void {
    this.entries.push(entry);
    this.unsynced.push(entry);
    Csp.offer(this.writeWake, true);
  }
  /** Puts the current term and a vote in it on disk. */
  *saveVote(term: number, votedFor: string): Task<Result<true>> {
    const done = yield* this.slots.append([{ tag: "hard", term, votedFor }] satisfies LogRecord[]);
    if (!done.ok) return done;
    this.term = term;
    this.votedFor = votedFor;
    return done;
  }
  /** Syncs what was appended in memory, still stands and is in no snapshot; how many. @example yield* log.sync() */
  *sync(): Task<Result<number>> {
    const batch = this.unsynced.filter((entry) => entry.index > this.baseIndex && this.holds(entry.index, entry.term));
    this.unsynced = [];
    if (batch.length === 0) return Fault.ok(0);
    const done = yield* this.slots.append([{ tag: "entries", entries: batch }] satisfies LogRecord[]);
    if (!done.ok) return done;
    this.synced = Math.max(this.synced, batch[batch.length - 1].index);
    return Fault.ok(batch.length);
  }
  /**
   * Forgets entries in memory that never reached the disk. Those up to the commit index were committed by the followers'
   * disks and are applied here, so they must stay: they are synced first.
   */
  *dropUnsynced(commit: number): Task<Result<true>> {
    if (this.unsynced.length === 0) return Fault.ok(true as const);
    this.unsynced = this.unsynced.filter((entry) => entry.index <= commit);
    const done = yield* this.sync();
    if (!done.ok) return done;
    this.entries = this.entries.filter((entry) => entry.index <= this.synced);
    return Fault.ok(true as const);
  }
  /** Puts a lead's entries on disk and into the log, in place of those that differ. */
  *store(entries: LogEntry[]): Task<Result<true>> {
    const from = entries.find((entry) => !this.holds(entry.index, entry.term))?.index;
    if (from === undefined) return Fault.ok(true as const);
    const added = entries.filter((entry) => entry.index >= from);
    const records: LogRecord[] = [];
    if (from <= this.lastIndex()) records.push({ tag: "cut", from });
    records.push({ tag: "entries", entries: added });
    const done = yield* this.slots.append(records);
    if (done.ok) this.entries = [...this.entries.filter((entry) => entry.index < from), ...added];
    return done;
  }
  /** Whether enough is applied past the snapshot, by entries or by bytes, for a new one. */
  isLong(applied: number): boolean {
    if (applied - this.baseIndex > Constants.groupLogKeep) return true;
    let bytes = 0;
    for (let index = this.baseIndex + 1; index <= applied; index += 1)
      bytes += this.bytesOf(this.entries[index - this.startIndex - 1]);
    return bytes > Constants.groupLogBytes;
  }
  /** Forgets entries before the snapshot, except for a bounded tail. */
  private dropFolded(): void {
    let start = this.baseIndex;
    let bytes = 0;
    while (start > this.startIndex && this.baseIndex - start < Constants.groupTailEntries) {
      bytes += this.bytesOf(this.entries[start - this.startIndex - 1]);
      if (bytes > Constants.groupTailBytes) break;
      start -= 1;
    }
    const startTerm = this.termAt(start)!;
    this.entries = this.entries.filter((entry) => entry.index > start);
    this.startIndex = start;
    this.startTerm = startTerm;
  }
  /** Makes a snapshot of the state at an index, in place of the entries up to it. */
  *fold(state: ControlState, upTo: number): Task<void> {
    const saved: Saved = {
      term: this.term,
      votedFor: this.votedFor,
      baseIndex: upTo,
      baseTerm: this.termAt(upTo)!,
      base: structuredClone(state),
      entries: this.entries.filter((entry) => entry.index > upTo && entry.index <= this.synced),
    };
    const done = yield* this.slots.rotate(saved);
    if (!done.ok) return;
    this.baseIndex = upTo;
    this.baseTerm = saved.baseTerm;
    this.base = saved.base;
    this.synced = Math.max(this.synced, upTo); // followers may have committed what only the snapshot brought to this disk
    this.dropFolded();
  }
}
