/**
 * Wire format of the consensus messages. The names must stay the same, so that different versions of a process can
 * communicate; only the message handlers, the codec and the validation use them. messageCodec.ts converts the bodies to
 * and from the types in messages.ts, where the fields are documented. Bodies are JSON, so the order of the fields is
 * part of the encoding.
 */
import { ControlState } from "../controlState/controlState";
import { LogEntry } from "./messages";

/** Wire format of Snapshot. */
export interface SnapshotOnWire {
  index: number;
  term: number;
  state: ControlState;
}

/** Wire format of PayloadChunk. */
export interface ChunkOnWire {
  transfer: string;
  size: number;
  checksum: number;
  offset: number;
  data: string;
}

/** Wire format of AppendPayload. */
export interface AppendPayloadOnWire {
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  whole?: SnapshotOnWire;
}

/** Wire format of AppendEntriesRequest. */
export interface AppendEntriesRequestOnWire extends AppendPayloadOnWire {
  to: string;
  group: string;
  term: number;
  lead: string;
  commit: number;
  piece?: ChunkOnWire;
}

/** Wire format of AppendEntriesResponse. */
export type AppendEntriesResponseOnWire =
  { term: number; matched: true; match: number } | { term: number; matched: false; last: number; received?: number };

/** Wire format of RequestVoteRequest. */
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

/** Wire format of RequestVoteResponse. */
export interface RequestVoteResponseOnWire {
  term: number;
  granted: boolean;
}

/** Wire format of TimeoutNowRequest. */
export interface TimeoutNowRequestOnWire {
  to: string;
  group: string;
  term: number;
}

declare module "../rpc/methods" {
  interface RpcMethods {
    /**
     * Pre-vote. It changes no state, so it may be retried. Faults: refused (the request is addressed to another
     * server).
     */
    "group.preVote": RpcMethod<RequestVoteRequestOnWire, RequestVoteResponseOnWire>;
    /** RequestVote. A retry in the same term gets the same vote. Faults: refused, disk. */
    "group.vote": RpcMethod<RequestVoteRequestOnWire, RequestVoteResponseOnWire>;
    /** AppendEntries. Idempotent: entries are compared by index and term. Faults: refused, invalid, disk. */
    "group.append": RpcMethod<AppendEntriesRequestOnWire, AppendEntriesResponseOnWire>;
    /** TimeoutNow. A retry is rejected once the term has passed. Faults: refused, conflict. */
    "group.takeOver": RpcMethod<TimeoutNowRequestOnWire, true>;
  }
}

/** Names of the RPC methods. */
export const ConsensusMethod = {
  preVote: "group.preVote",
  requestVote: "group.vote",
  appendEntries: "group.append",
  timeoutNow: "group.takeOver",
} as const;
