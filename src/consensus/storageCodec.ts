import { ControlState } from "../controlState/controlState";
import { LogEntry } from "./messages";

/**
 * State that a server must write to stable storage before it responds to a request (Raft, figure 2), with the snapshot.
 */
export interface PersistentState {
  currentTerm: number;
  /** Id of the candidate that received this server's vote in the current term; "" if none did. */
  votedFor: string;
  /** Index of the last entry that the snapshot covers; 0 without a snapshot. */
  snapshotIndex: number;
  /** Term of the last entry that the snapshot covers. */
  snapshotTerm: number;
  /** State of the state machine after the last entry that the snapshot covers. */
  snapshotState: ControlState;
  /** Entries after the snapshot. */
  entries: LogEntry[];
}

/** A change of the persistent state; such records are appended to the file between two snapshots. */
export type LogRecord =
  | { kind: "termAndVote"; currentTerm: number; votedFor: string }
  | { kind: "entries"; entries: LogEntry[] }
  | { kind: "truncation"; fromIndex: number };

/** The persistent state with the field names used on disk. */
interface StoredState {
  term: number;
  votedFor: string;
  baseIndex: number;
  baseTerm: number;
  base: ControlState;
  entries: LogEntry[];
}

/** A record with the field and tag names used on disk. */
type StoredRecord =
  | { tag: "hard"; term: number; votedFor: string }
  | { tag: "entries"; entries: LogEntry[] }
  | { tag: "cut"; from: number };

/** Converts the persistent state between its types in the code and its format on disk. */
export const StorageCodec = {
  encodeState: (state: PersistentState): StoredState => ({
    term: state.currentTerm,
    votedFor: state.votedFor,
    baseIndex: state.snapshotIndex,
    baseTerm: state.snapshotTerm,
    base: state.snapshotState,
    entries: state.entries,
  }),

  /** Does not validate its input, because the storage layer verifies checksums. */
  decodeState(stored: unknown): PersistentState {
    const state = stored as StoredState;
    return {
      currentTerm: state.term,
      votedFor: state.votedFor,
      snapshotIndex: state.baseIndex,
      snapshotTerm: state.baseTerm,
      snapshotState: state.base,
      entries: state.entries,
    };
  },

  encodeRecord(record: LogRecord): StoredRecord {
    switch (record.kind) {
      case "termAndVote":
        return { tag: "hard", term: record.currentTerm, votedFor: record.votedFor };
      case "entries":
        return { tag: "entries", entries: record.entries };
      case "truncation":
        return { tag: "cut", from: record.fromIndex };
    }
  },

  decodeRecord(stored: unknown): LogRecord {
    const record = stored as StoredRecord;
    switch (record.tag) {
      case "hard":
        return { kind: "termAndVote", currentTerm: record.term, votedFor: record.votedFor };
      case "entries":
        return { kind: "entries", entries: record.entries };
      default:
        return { kind: "truncation", fromIndex: record.from };
    }
  },
};
