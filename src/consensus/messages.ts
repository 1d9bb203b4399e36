/**
 * Messages of the consensus protocol as the code uses them, named as in "In Search of an Understandable Consensus
 * Algorithm" (Ongaro and Ousterhout), figure 2, and in Ongaro's thesis "Consensus: Bridging Theory and Practice".
 * messageCodec.ts maps them to the names on the wire (wireMessages.ts).
 */
import { Command } from "../controlState/command";
import { ControlState } from "../controlState/controlState";

/** One entry of the replicated log. Stored and sent under these names. */
export interface LogEntry {
  /** Position in the log; the first entry has index 1. */
  index: number;
  /** Term of the leader that appended it. */
  term: number;
  /** What the state machine applies. */
  command: Command;
}

/** The state machine after an entry, in place of the log up to it (Raft, section 7). */
export interface Snapshot {
  lastIncludedIndex: number;
  lastIncludedTerm: number;
  state: ControlState;
}

/** What an AppendEntries request carries beside its header. Where it is long it is sent in chunks. */
export interface AppendPayload {
  /** Index of the entry before the first of `entries`. */
  prevLogIndex: number;
  /** Term of that entry. */
  prevLogTerm: number;
  /** Empty in a heartbeat. */
  entries: LogEntry[];
  /** To be installed first, if the follower's log ends before it. */
  snapshot?: Snapshot;
}

/** A part of a packed payload that is too long for one message. */
export interface PayloadChunk {
  /** The same for all chunks of one payload, different for every other payload. */
  transferId: string;
  /** Bytes of the packed payload. */
  totalBytes: number;
  /** CRC-32 of the packed payload. */
  checksum: number;
  /** Byte of the packed payload at which `data` starts. */
  offset: number;
  /** Bytes of the packed payload, in base64. */
  data: string;
}

/** The leader's request to a follower: Raft's AppendEntries and InstallSnapshot in one. */
export interface AppendEntriesRequest extends AppendPayload {
  /** Id of the server that it is meant for. */
  targetId: string;
  groupId: string;
  term: number;
  leaderId: string;
  /** The leader's commit index. */
  leaderCommit: number;
  /** Present while a payload is sent in chunks; the rest of the request is then a heartbeat. */
  chunk?: PayloadChunk;
}

/** A follower's response to AppendEntries. */
export type AppendEntriesResponse =
  | {
      term: number;
      success: true;
      /** The follower's log equals the leader's up to this index. */
      matchIndex: number;
    }
  | {
      term: number;
      success: false;
      /** Highest index at which the logs may still be equal; the leader continues after it. */
      lastPossibleMatch: number;
      /** After a chunk that was not the last: bytes of the payload received so far. */
      receivedBytes?: number;
    };

/** A candidate's request for a vote, or, as a pre-vote, the question whether it would get one. */
export interface RequestVoteRequest {
  /** Id of the server that it is meant for. */
  targetId: string;
  groupId: string;
  /** The term that the candidate stands for. */
  term: number;
  candidateId: string;
  lastLogIndex: number;
  lastLogTerm: number;
  /** The candidate assumes that all voters have started recently, so that no lease from before can be valid. */
  afterFullRestart: boolean;
  /** The leader of the term before has transferred its leadership to the candidate and given up its lease. */
  leadershipTransferred: boolean;
}

/** A voter's response to a vote or a pre-vote. */
export interface RequestVoteResponse {
  term: number;
  voteGranted: boolean;
}

/** The leader's request that a follower stands for election at once: TimeoutNow of the thesis, section 3.10. */
export interface TimeoutNowRequest {
  /** Id of the server that it is meant for. */
  targetId: string;
  groupId: string;
  /** The leader's term. */
  term: number;
}
