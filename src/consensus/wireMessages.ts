/**
 * Names of the consensus messages on the wire, and nowhere else: older and newer versions of a process understand each
 * other by them. messageCodec.ts maps them to the messages of messages.ts, where the fields are documented. Bodies are
 * JSON, so the order of the fields is part of the bytes.
 */
import { ControlState } from "../controlState/controlState";
import { LogEntry } from "./messages";

/** Snapshot on the wire. */
export interface SnapshotOnWire {
  index: number;
  term: number;
  state: ControlState;
}

/** PayloadChunk on the wire. */
export interface ChunkOnWire {
  transfer: string;
  size: number;
  checksum: number;
  offset: number;
  data: string;
}

/** AppendPayload on the wire. */
export interface AppendPayloadOnWire {
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  whole?: SnapshotOnWire;
}

/** AppendEntriesRequest on the wire. */
export interface AppendEntriesRequestOnWire extends AppendPayloadOnWire {
  to: string;
  group: string;
  term: number;
  lead: string;
  commit: number;
  piece?: ChunkOnWire;
}

/** AppendEntriesResponse on the wire. */
export type AppendEntriesResponseOnWire =
  { term: number; matched: true; match: number } | { term: number; matched: false; last: number; received?: number };

/** RequestVoteRequest on the wire. */
export interface RequestVoteRequestOnWire {
  to: string;
  group: string;
  term: number;
  candidate: string;
  lastIndex: number;
  lastTerm: number;
  ofNewborns: boolean;
  handedOver?: boolean;
}

/** RequestVoteResponse on the wire. */
export interface RequestVoteResponseOnWire {
  term: number;
  granted: boolean;
}

/** TimeoutNowRequest on the wire. */
export interface TimeoutNowRequestOnWire {
  to: string;
  group: string;
  term: number;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /** Pre-vote. Changes no state, so it may be repeated. Faults: refused (meant for another server). */
    "group.preVote": RpcMethod<RequestVoteRequestOnWire, RequestVoteResponseOnWire>;
    /** RequestVote. A repeat in the same term gives the same vote. Faults: refused, disk. */
    "group.vote": RpcMethod<RequestVoteRequestOnWire, RequestVoteResponseOnWire>;
    /** AppendEntries. Idempotent: entries are compared by index and term. Faults: refused, invalid, disk. */
    "group.append": RpcMethod<AppendEntriesRequestOnWire, AppendEntriesResponseOnWire>;
    /** TimeoutNow. A repeat is refused once the term has passed. Faults: refused, conflict. */
    "group.takeOver": RpcMethod<TimeoutNowRequestOnWire, true>;
  }
}

/** Names of the remote methods. */
export const ConsensusMethod = {
  preVote: "group.preVote",
  requestVote: "group.vote",
  appendEntries: "group.append",
  timeoutNow: "group.takeOver",
} as const;
