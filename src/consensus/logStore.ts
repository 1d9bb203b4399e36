import { Fault, Result } from "../common/fault";
import { ControlState } from "../controlState/controlState";
import { Chan, Csp, Task } from "../runtime/csp";
import { CheckpointedLog } from "../runtime/checkpointedLog";
import { LogRecord, PersistentState, StorageCodec } from "./storageCodec";

const emptyState = (): PersistentState => ({
  currentTerm: 0,
  votedFor: "",
  snapshotIndex: 0,
  snapshotTerm: 0,
  snapshotState: ControlState.empty(),
  entries: [],
});

function replay(state: PersistentState, record: LogRecord): void {
  switch (record.kind) {
    case "termAndVote":
      state.currentTerm = record.currentTerm;
      state.votedFor = record.votedFor;
      return;
    case "entries":
      state.entries.push(...record.entries);
      return;
    case "truncation":
      state.entries = state.entries.filter((entry) => entry.index < record.fromIndex);
  }
}

/**
 * The persistent state of one server on disk: a snapshot and the records written after it. A write that returns ok has
 * been synced. After a failed write, every further write returns the fault "disk" until `rewrite` succeeds.
 */
export class LogStore {
  /** Receives the fault of each write that fails, but not of those that are rejected because of an earlier one. */
  readonly failures: Chan<Fault> = Csp.sliding(1);

  constructor(private readonly storage: CheckpointedLog) {}

  /** Whether an earlier write failed. No further writes are made then, except by `rewrite`. */
  get hasFailed(): boolean {
    return this.storage.hasFailed;
  }

  /** Reads the snapshot and replays the records. Returns an empty state if the disk has no snapshot. */
  *load(): Task<Result<PersistentState>> {
    const opened = yield* this.storage.open();
    if (!opened.ok) return opened;
    const stored = opened.value.state;
    const state = stored === undefined ? emptyState() : StorageCodec.decodeState(stored);
    for (const record of opened.value.records) replay(state, StorageCodec.decodeRecord(record));
    // Earlier versions could write entries again that the snapshot already covers.
    state.entries = state.entries.filter((entry) => entry.index > state.snapshotIndex);
    return Fault.ok(state);
  }

  /** Appends records in one synced write. */
  append(...records: LogRecord[]): Task<Result<true>> {
    return this.reportFailure(() => this.storage.append(records.map((record) => StorageCodec.encodeRecord(record))));
  }

  /** Replaces the snapshot and all records on disk. */
  replace(state: PersistentState): Task<Result<true>> {
    return this.reportFailure(() => this.storage.checkpoint(StorageCodec.encodeState(state)));
  }

  /** Writes the state to new files after a failed write, and accepts writes again if that succeeds. */
  rewrite(state: PersistentState): Task<Result<true>> {
    return this.storage.rewrite(StorageCodec.encodeState(state));
  }

  private *reportFailure(write: () => Task<Result<true>>): Task<Result<true>> {
    const hadFailed = this.hasFailed;
    const written = yield* write();
    if (!written.ok && !hadFailed) Csp.offer(this.failures, written.fault);
    return written;
  }
}
