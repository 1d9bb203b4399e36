import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ControlState } from "../controlState/controlState";
import { Chan, Csp, Task } from "../runtime/csp";
import { LogStore } from "./logStore";
import { LogEntry } from "./messages";
import { votersSetBy } from "./membershipCommand";
import { LogRecord, PersistentState } from "./storageCodec";

/**
 * The log of one server, with its term and vote: in memory, and on disk through LogStore (Raft, section 5.3; compaction:
 * section 7). Whoever writes to disk holds `diskLock`.
 *
 * Entries in memory start some way before the snapshot: followers a little behind still get them as entries.
 *
 * @example
 * const log = new ReplicatedLog(new LogStore(storage));
 * yield* log.open();
 * const voters = log.voters();
 */
export class ReplicatedLog {
  currentTerm = 0;
  /** Id of the candidate that got this server's vote in the current term, or "". */
  votedFor = "";
  /** Entries in memory, after `precedingIndex`. */
  entries: LogEntry[] = [];
  /** Index and term of the entry before the first one in memory. */
  private precedingTerm = 0;
  precedingIndex = 0;
  /** Index and term of the last entry that the snapshot covers, and the state machine after it. */
  snapshotIndex = 0;
  snapshotTerm = 0;
  snapshotState = ControlState.empty();
  /** Index up to which the log is on this server's disk. */
  syncedIndex = 0;
  /** Appended by this server as leader, not on its disk yet. */
  private unsyncedEntries: LogEntry[] = [];
  /** Wakes the log writer. */
  readonly writeRequests: Chan<true> = Csp.sliding(1);
  /** A channel with one value: who has taken it may write. */
  readonly diskLock: Chan<true> = Csp.chan(1);
  private readonly entryBytes = new WeakMap<LogEntry, number>();

  constructor(private readonly store: LogStore) {
    Csp.offer(this.diskLock, true);
  }

  /** Reads what this server has on disk. Fault: disk. @example yield* log.open(); */
  *open(): Task<Result<true>> {
    const loaded = yield* this.store.load();
    if (!loaded.ok) return loaded;
    this.restore(loaded.value);
    this.syncedIndex = this.lastIndex();
    return Fault.ok(true as const);
  }
  private restore(state: PersistentState): void {
    this.currentTerm = state.currentTerm;
    this.votedFor = state.votedFor;
    this.entries = state.entries;
    this.snapshotIndex = state.snapshotIndex;
    this.snapshotTerm = state.snapshotTerm;
    this.snapshotState = state.snapshotState;
    this.precedingIndex = state.snapshotIndex;
    this.precedingTerm = state.snapshotTerm;
  }

  /** Whether the disk failed: nothing more is written. */
  hasDiskFailed(): boolean {
    return this.store.hasFailed;
  }

  // ---------- reading ----------

  /** Whether this server belongs to a group: its log has a first entry. */
  isBootstrapped(): boolean {
    return this.lastIndex() > 0;
  }
  /** Index of the newest entry. */
  lastIndex(): number {
    return this.entries.length > 0 ? this.entries[this.entries.length - 1].index : this.snapshotIndex;
  }
  /** Term of the newest entry. */
  lastTerm(): number | undefined {
    return this.termAt(this.lastIndex());
  }
  /** Term of an entry; undefined if the entry is neither in memory nor the one before. */
  termAt(index: number): number | undefined {
    if (index === this.precedingIndex) return this.precedingTerm;
    return this.entryAt(index)?.term;
  }
  /** The entry at an index, if it is in memory. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.precedingIndex - 1];
  }
  /** Whether the log has an entry of this index and term: then it equals the leader's up to there (log matching property). */
  matches(index: number, term: number): boolean {
    return this.termAt(index) === term;
  }
  /** Size of an entry as JSON, in bytes. */
  bytesOf(entry: LogEntry): number {
    const known = this.entryBytes.get(entry);
    if (known !== undefined) return known;
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    this.entryBytes.set(entry, bytes);
    return bytes;
  }
  /** The voters of the newest entry that sets them, committed or not. */
  voters(): string[] {
    for (let position = this.entries.length - 1; position >= 0; position -= 1) {
      const voters = votersSetBy(this.entries[position].command);
      if (voters) return voters;
    }
    return this.snapshotState.voters;
  }

  // ---------- writing ----------

  /** Writes the first entry of all, the same on every founding server. Fault: disk. */
  *bootstrap(groupId: string, voters: string[]): Task<Result<true>> {
    const entry: LogEntry = { index: 1, term: 1, command: { tag: "found", group: groupId, voters } };
    const written = yield* this.store.append(
      { kind: "termAndVote", currentTerm: 1, votedFor: "" },
      { kind: "entries", entries: [entry] },
    );
    if (!written.ok) return written;
    this.currentTerm = 1;
    this.entries = [entry];
    this.syncedIndex = 1;
    return written;
  }
  /** Replaces everything by a snapshot without entries after it, on disk first. Fault: disk. */
  *installSnapshot(state: PersistentState): Task<Result<true>> {
    const written = yield* this.store.replace(state);
    if (!written.ok) return written;
    this.restore({ ...state, entries: [] });
    this.unsyncedEntries = [];
    this.syncedIndex = state.snapshotIndex;
    return written;
  }
  /** Appends an entry of this server's own term in memory; the log writer puts it on disk. */
  append(entry: LogEntry): void {
    this.entries.push(entry);
    this.unsyncedEntries.push(entry);
    Csp.offer(this.writeRequests, true);
  }
  /** Puts the current term and a vote in it on disk, then adopts them. Fault: disk. */
  *saveTermAndVote(currentTerm: number, votedFor: string): Task<Result<true>> {
    const written = yield* this.store.append({ kind: "termAndVote", currentTerm, votedFor });
    if (!written.ok) return written;
    this.currentTerm = currentTerm;
    this.votedFor = votedFor;
    return written;
  }
  /** Puts on disk what was appended in memory, has not been replaced and is in no snapshot. How many entries. Fault: disk. */
  *sync(): Task<Result<number>> {
    const batch = this.unsyncedEntries.filter(
      (entry) => entry.index > this.snapshotIndex && this.matches(entry.index, entry.term),
    );
    this.unsyncedEntries = [];
    if (batch.length === 0) return Fault.ok(0);
    const written = yield* this.store.append({ kind: "entries", entries: batch });
    if (!written.ok) return written;
    this.syncedIndex = Math.max(this.syncedIndex, batch[batch.length - 1].index);
    return Fault.ok(batch.length);
  }
  /**
   * Drops entries that never reached the disk. Those up to the commit index were committed by the followers' disks and
   * are applied here, so they must stay: they are synced first. Fault: disk.
   */
  *dropUnsynced(commitIndex: number): Task<Result<true>> {
    if (this.unsyncedEntries.length === 0) return Fault.ok(true as const);
    this.unsyncedEntries = this.unsyncedEntries.filter((entry) => entry.index <= commitIndex);
    const synced = yield* this.sync();
    if (!synced.ok) return synced;
    this.entries = this.entries.filter((entry) => entry.index <= this.syncedIndex);
    return Fault.ok(true as const);
  }
  /** Puts a leader's entries on disk and into the log, in place of those that conflict with them. Fault: disk. */
  *storeFromLeader(entries: LogEntry[]): Task<Result<true>> {
    const firstNew = entries.find((entry) => !this.matches(entry.index, entry.term))?.index;
    if (firstNew === undefined) return Fault.ok(true as const);
    const added = entries.filter((entry) => entry.index >= firstNew);
    const records: LogRecord[] = [];
    if (firstNew <= this.lastIndex()) records.push({ kind: "truncation", fromIndex: firstNew });
    records.push({ kind: "entries", entries: added });
    const written = yield* this.store.append(...records);
    if (written.ok) this.entries = [...this.entries.filter((entry) => entry.index < firstNew), ...added];
    return written;
  }

  // ---------- compaction ----------

  /** Whether so much is applied past the snapshot, in entries or in bytes, that a new one is due. */
  needsCompaction(lastApplied: number): boolean {
    if (lastApplied - this.snapshotIndex > Constants.logEntriesUntilSnapshot) return true;
    let bytes = 0;
    for (let index = this.snapshotIndex + 1; index <= lastApplied; index += 1)
      bytes += this.bytesOf(this.entryAt(index)!);
    return bytes > Constants.logBytesUntilSnapshot;
  }
  /** Takes a snapshot of the state machine at an index, in place of the entries up to it. After a failed write nothing changes. */
  *compact(state: ControlState, lastApplied: number): Task<void> {
    const snapshotTerm = this.termAt(lastApplied)!;
    const persistent: PersistentState = {
      currentTerm: this.currentTerm,
      votedFor: this.votedFor,
      snapshotIndex: lastApplied,
      snapshotTerm,
      snapshotState: structuredClone(state),
      entries: this.entries.filter((entry) => entry.index > lastApplied && entry.index <= this.syncedIndex),
    };
    const written = yield* this.store.replace(persistent);
    if (!written.ok) return;
    this.snapshotIndex = lastApplied;
    this.snapshotTerm = snapshotTerm;
    this.snapshotState = persistent.snapshotState;
    // Followers may have committed entries that only the snapshot brought to this disk.
    this.syncedIndex = Math.max(this.syncedIndex, lastApplied);
    this.discardCompacted();
  }
  /** Drops entries that the snapshot covers, except for a bounded number of trailing ones. */
  private discardCompacted(): void {
    let precedingIndex = this.snapshotIndex;
    let bytes = 0;
    while (precedingIndex > this.precedingIndex && this.snapshotIndex - precedingIndex < Constants.trailingLogEntries) {
      bytes += this.bytesOf(this.entryAt(precedingIndex)!);
      if (bytes > Constants.trailingLogBytes) break;
      precedingIndex -= 1;
    }
    const precedingTerm = this.termAt(precedingIndex)!;
    this.entries = this.entries.filter((entry) => entry.index > precedingIndex);
    this.precedingIndex = precedingIndex;
    this.precedingTerm = precedingTerm;
  }
}
