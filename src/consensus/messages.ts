/**
 * Types of the consensus messages, named as in "In Search of an Understandable Consensus Algorithm" (Ongaro and
 * Ousterhout), figure 2, and in Ongaro's thesis "Consensus: Bridging Theory and Practice". messageCodec.ts converts
 * them to and from the wire format (wireMessages.ts).
 */
import { Command } from "../controlState/command";
import { ControlState } from "../controlState/controlState";

/** One entry of the replicated log. Its fields are stored and sent under these names. */
export interface LogEntry {
  /** Position in the log; the first entry has index 1. */
  index: number;
  /** Term of the leader that appended it. */
  term: number;
  /** The command that the state machine applies. */
  command: Command;
}

/** The state of the state machine after an entry; it replaces the log up to that entry (Raft, section 7). */
export interface Snapshot {
  lastIncludedIndex: number;
  lastIncludedTerm: number;
  state: ControlState;
}

/** The content of an AppendEntries request without its header. A long payload is sent in chunks. */
export interface AppendPayload {
  /** Index of the entry before the first of `entries`. */
  prevLogIndex: number;
  /** Term of that entry. */
  prevLogTerm: number;
  /** Empty in a heartbeat. */
  entries: LogEntry[];
  /** The follower installs the snapshot before it stores the entries, unless its log already covers the snapshot. */
  snapshot?: Snapshot;
}

/** A part of a packed payload that is too long for one message. */
export interface PayloadChunk {
  /** Identifies the payload; the same in all of its chunks. */
  transferId: string;
  /** Size of the packed payload in bytes. */
  totalBytes: number;
  /** CRC-32 of the packed payload. */
  checksum: number;
  /** Offset of `data` in the packed payload, in bytes. */
  offset: number;
  /** Bytes of the chunk, base64-encoded. */
  data: string;
}

/** The leader's request to a follower, which combines Raft's AppendEntries and InstallSnapshot. */
export interface AppendEntriesRequest extends AppendPayload {
  /** Id of the server that the request is addressed to. */
  targetId: string;
  groupId: string;
  term: number;
  leaderId: string;
  /** The leader's commit index. */
  leaderCommit: number;
  /** A chunk of a payload that is sent in chunks; the rest of the request is then a heartbeat. */
  chunk?: PayloadChunk;
}

/** A follower's response to AppendEntries. */
export type AppendEntriesResponse =
  | {
      term: number;
      success: true;
      /** Index up to which the follower's log matches the leader's. */
      matchIndex: number;
    }
  | {
      term: number;
      success: false;
      /** Highest index at which the logs may still match; the leader continues with the entry after it. */
      lastPossibleMatch: number;
      /** In the response to a chunk that does not complete the payload: number of payload bytes received so far. */
      receivedBytes?: number;
    };

/** A candidate's request for a vote or a pre-vote. */
export interface RequestVoteRequest {
  /** Id of the server that the request is addressed to. */
  targetId: string;
  groupId: string;
  /** The term of the election. */
  term: number;
  candidateId: string;
  lastLogIndex: number;
  lastLogTerm: number;
  /** The candidate assumes that all voters have started recently, so that no earlier lease can still be valid. */
  afterFullRestart: boolean;
  /** The leader of the previous term has transferred its leadership to the candidate and given up its lease. */
  leadershipTransferred: boolean;
}

/** A voter's response to a request for a vote or a pre-vote. */
export interface RequestVoteResponse {
  term: number;
  voteGranted: boolean;
}

/** The leader's request that a follower starts an election immediately (TimeoutNow of the thesis, section 3.10). */
export interface TimeoutNowRequest {
  /** Id of the server that the request is addressed to. */
  targetId: string;
  groupId: string;
  /** The leader's term. */
  term: number;
}
