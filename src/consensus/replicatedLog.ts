import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ControlState } from "../controlState/controlState";
import { Chan, Csp, Task } from "../runtime/csp";
import { LogStore } from "./logStore";
import { LogEntry } from "./messages";
import { votersSetBy } from "./membershipCommand";
import { LogRecord, PersistentState } from "./storageCodec";

/**
 * The log, term and vote of one server, in memory and, through LogStore, on disk (Raft, section 5.3; compaction:
 * section 7). Any task that writes to disk must hold `diskLock`.
 *
 * Memory also keeps some entries that the snapshot already covers, so that followers that lag only a little can be sent
 * entries instead of the snapshot.
 */
export class ReplicatedLog {
  currentTerm = 0;
  /** Id of the candidate that received this server's vote in the current term; "" if none did. */
  votedFor = "";
  /** Entries in memory; the first one has the index `precedingIndex + 1`. */
  entries: LogEntry[] = [];
  /** Term of the entry before the first one in memory. */
  private precedingTerm = 0;
  /** Index of the entry before the first one in memory. */
  precedingIndex = 0;
  /** Index of the last entry that the snapshot covers. */
  snapshotIndex = 0;
  /** Term of the last entry that the snapshot covers. */
  snapshotTerm = 0;
  /** State of the state machine after the last entry that the snapshot covers. */
  snapshotState = ControlState.empty();
  /** Index up to which the log is synced to this server's disk. */
  syncedIndex = 0;
  /** Entries that this server appended as leader and has not synced to its disk yet. */
  private unsyncedEntries: LogEntry[] = [];
  /** Wakes the log writer. */
  readonly writeRequests: Chan<true> = Csp.sliding(1);
  /** Lock for disk writes: a channel with a single value, which a task takes to lock and puts back to unlock. */
  readonly diskLock: Chan<true> = Csp.chan(1);
  private readonly entryBytes = new WeakMap<LogEntry, number>();

  constructor(private readonly store: LogStore) {
    Csp.offer(this.diskLock, true);
  }

  /** Loads the persistent state from disk. Fault: disk. */
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

  /** Whether an earlier write failed. No further writes are made then, except by `rewrite`. */
  hasDiskFailed(): boolean {
    return this.store.hasFailed;
  }
  /** Receives the fault of each write that fails, but not of those that are rejected because of an earlier one. */
  get diskFailures(): Chan<Fault> {
    return this.store.failures;
  }

  // ---------- reading ----------

  /** Whether this server belongs to a group, which is the case once its log has an entry. */
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
  /** Term of an entry; undefined if the entry is neither in memory nor directly before the first one in memory. */
  termAt(index: number): number | undefined {
    if (index === this.precedingIndex) return this.precedingTerm;
    return this.entryAt(index)?.term;
  }
  /** The entry at an index, if it is in memory. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.precedingIndex - 1];
  }
  /**
   * Whether the log has an entry with this index and term. If so, it equals any log with the same entry up to that
   * index (log matching property).
   */
  matches(index: number, term: number): boolean {
    return this.termAt(index) === term;
  }
  /** Size of an entry in bytes when encoded as JSON. */
  bytesOf(entry: LogEntry): number {
    const known = this.entryBytes.get(entry);
    if (known !== undefined) return known;
    const bytes = Buffer.byteLength(JSON.stringify(entry));
    this.entryBytes.set(entry, bytes);
    return bytes;
  }
  /** The voters set by the newest membership entry in the log, committed or not. */
  voters(): string[] {
    for (let position = this.entries.length - 1; position >= 0; position -= 1) {
      const voters = votersSetBy(this.entries[position].command);
      if (voters) return voters;
    }
    return this.snapshotState.voters;
  }

  // ---------- writing ----------

  /** Writes the first entry of the log, which is the same on all initial voters. Fault: disk. */
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
  /** Replaces the whole log with a snapshot, first on disk and then in memory. Fault: disk. */
  *installSnapshot(state: PersistentState): Task<Result<true>> {
    const written = yield* this.store.replace(state);
    if (!written.ok) return written;
    this.restore({ ...state, entries: [] });
    this.unsyncedEntries = [];
    this.syncedIndex = state.snapshotIndex;
    return written;
  }
  /** Appends an entry of this server's own term in memory; the log writer writes it to disk later. */
  append(entry: LogEntry): void {
    this.entries.push(entry);
    this.unsyncedEntries.push(entry);
    Csp.offer(this.writeRequests, true);
  }
  /** Saves a term and the vote in that term, first on disk and then in memory. Fault: disk. */
  *saveTermAndVote(currentTerm: number, votedFor: string): Task<Result<true>> {
    const written = yield* this.store.append({ kind: "termAndVote", currentTerm, votedFor });
    if (!written.ok) return written;
    this.currentTerm = currentTerm;
    this.votedFor = votedFor;
    return written;
  }
  /**
   * Writes to disk the entries that were appended in memory, except for those that have been replaced or that the
   * snapshot covers. Returns the number of entries written. Fault: disk.
   */
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
   * Drops unsynced entries after the commit index. Unsynced entries up to the commit index are committed because the
   * followers have them on disk, and they are applied here, so they are kept and synced. Fault: disk.
   */
  *dropUnsynced(commitIndex: number): Task<Result<true>> {
    if (this.unsyncedEntries.length === 0) return Fault.ok(true as const);
    this.unsyncedEntries = this.unsyncedEntries.filter((entry) => entry.index <= commitIndex);
    const synced = yield* this.sync();
    if (!synced.ok) return synced;
    this.entries = this.entries.filter((entry) => entry.index <= this.syncedIndex);
    return Fault.ok(true as const);
  }
  /**
   * Stores entries from the leader, on disk and in memory, and truncates the log at the first conflicting entry. Fault:
   * disk.
   */
  *storeFromLeader(entries: LogEntry[]): Task<Result<true>> {
    const firstNew = entries.find((entry) => !this.matches(entry.index, entry.term))?.index;
    if (firstNew === undefined) return Fault.ok(true as const);
    const newEntries = entries.filter((entry) => entry.index >= firstNew);
    const records: LogRecord[] = [];
    if (firstNew <= this.lastIndex()) records.push({ kind: "truncation", fromIndex: firstNew });
    records.push({ kind: "entries", entries: newEntries });
    const written = yield* this.store.append(...records);
    if (written.ok) this.entries = [...this.entries.filter((entry) => entry.index < firstNew), ...newEntries];
    return written;
  }

  /**
   * Writes all that this server has acknowledged, and what it has applied, to new files after a failed write; the disk
   * is in use again if that succeeds. Memory has all of it, because each change is made there after its write. Entries
   * that were never synced nor committed are left to the log writer. The caller must hold the disk lock. Fault: disk.
   */
  *rewrite(commitIndex: number): Task<Result<true>> {
    const lastIndex = Math.max(this.syncedIndex, commitIndex);
    const { currentTerm, votedFor, snapshotIndex, snapshotTerm, snapshotState } = this;
    const entries = this.entries.filter((entry) => entry.index > snapshotIndex && entry.index <= lastIndex);
    const state = { currentTerm, votedFor, snapshotIndex, snapshotTerm, snapshotState, entries };
    const written = yield* this.store.rewrite(state);
    if (!written.ok) return written;
    this.syncedIndex = lastIndex;
    this.unsyncedEntries = this.entries.filter((entry) => entry.index > lastIndex);
    Csp.offer(this.writeRequests, true);
    return written;
  }

  // ---------- compaction ----------

  /**
   * Whether the entries applied after the last snapshot exceed the limit in number or in bytes, so that a new snapshot
   * is due.
   */
  needsCompaction(lastApplied: number): boolean {
    if (lastApplied - this.snapshotIndex > Constants.logEntriesUntilSnapshot) return true;
    let bytes = 0;
    for (let index = this.snapshotIndex + 1; index <= lastApplied; index += 1)
      bytes += this.bytesOf(this.entryAt(index)!);
    return bytes > Constants.logBytesUntilSnapshot;
  }
  /**
   * Replaces the entries up to `lastApplied` with a snapshot of the state machine after that entry. Nothing changes in
   * memory if the write fails.
   */
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
    // Entries may be committed by the followers' disks alone; the snapshot is then what brings them to this disk.
    this.syncedIndex = Math.max(this.syncedIndex, lastApplied);
    this.discardCompacted();
  }
  /**
   * Drops entries that the snapshot covers, except for the newest ones within the trailing limits of number and bytes.
   */
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
