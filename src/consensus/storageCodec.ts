import { ControlState } from "../controlState/controlState";
import { LogEntry } from "./messages";

/** What a server must have on stable storage before it answers a request (Raft, figure 2), with the snapshot. */
export interface PersistentState {
  currentTerm: number;
  /** Id of the candidate that got this server's vote in the current term, or "". */
  votedFor: string;
  /** Index of the last entry that the snapshot covers; 0 without a snapshot. */
  snapshotIndex: number;
  /** Term of that entry. */
  snapshotTerm: number;
  /** The state machine after that entry. */
  snapshotState: ControlState;
  /** Entries after the snapshot. */
  entries: LogEntry[];
}

/** A change of the persistent state, appended to the file between two snapshots. */
export type LogRecord =
  | { kind: "termAndVote"; currentTerm: number; votedFor: string }
  | { kind: "entries"; entries: LogEntry[] }
  | { kind: "truncation"; fromIndex: number };

/** The persistent state under its names on disk. */
interface StoredState {
  term: number;
  votedFor: string;
  baseIndex: number;
  baseTerm: number;
  base: ControlState;
  entries: LogEntry[];
}

/** A record under its names on disk. */
type StoredRecord =
  | { tag: "hard"; term: number; votedFor: string }
  | { tag: "entries"; entries: LogEntry[] }
  | { tag: "cut"; from: number };

/** Between the persistent state and its form on disk. @example StorageCodec.encodeRecord({ kind: "entries", entries }) */
export const StorageCodec = {
  encodeState: (state: PersistentState): StoredState => ({
    term: state.currentTerm,
    votedFor: state.votedFor,
    baseIndex: state.snapshotIndex,
    baseTerm: state.snapshotTerm,
    base: state.snapshotState,
    entries: state.entries,
  }),

  /** Checksums guard what is read, so its form is taken for granted. */
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
