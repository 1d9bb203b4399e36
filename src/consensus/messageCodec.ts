import { ControlState } from "../controlState/controlState";
import {
  AppendEntriesRequest,
  AppendEntriesResponse,
  AppendPayload,
  LogEntry,
  PayloadChunk,
  RequestVoteRequest,
  RequestVoteResponse,
  Snapshot,
  TimeoutNowRequest,
} from "./messages";
import { MessageValidation } from "./messageValidation";

/**
 * Names of the consensus messages on the wire, and nowhere else: older and newer versions of a process understand each
 * other by them. Fields are documented in messages.ts. Bodies are JSON, so the order of the fields is part of the bytes.
 */
interface SnapshotOnWire {
  index: number;
  term: number;
  state: ControlState;
}
interface ChunkOnWire {
  transfer: string;
  size: number;
  checksum: number;
  offset: number;
  data: string;
}
export interface AppendPayloadOnWire {
  prevIndex: number;
  prevTerm: number;
  entries: LogEntry[];
  whole?: SnapshotOnWire;
}
export interface AppendEntriesRequestOnWire extends AppendPayloadOnWire {
  to: string;
  group: string;
  term: number;
  lead: string;
  commit: number;
  piece?: ChunkOnWire;
}
export type AppendEntriesResponseOnWire =
  { term: number; matched: true; match: number } | { term: number; matched: false; last: number; received?: number };
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
export interface RequestVoteResponseOnWire {
  term: number;
  granted: boolean;
}
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

/** A message that was decoded, or what is wrong with it. */
export type Decoded<Message> = { ok: true; message: Message } | { ok: false; defect: string };

const encodeSnapshot = (snapshot: Snapshot): SnapshotOnWire => ({
  index: snapshot.lastIncludedIndex,
  term: snapshot.lastIncludedTerm,
  state: snapshot.state,
});
const decodeSnapshot = (body: SnapshotOnWire): Snapshot => ({
  lastIncludedIndex: body.index,
  lastIncludedTerm: body.term,
  state: body.state,
});
const encodeChunk = (chunk: PayloadChunk): ChunkOnWire => ({
  transfer: chunk.transferId,
  size: chunk.totalBytes,
  checksum: chunk.checksum,
  offset: chunk.offset,
  data: chunk.data,
});
const decodeChunk = (body: ChunkOnWire): PayloadChunk => ({
  transferId: body.transfer,
  totalBytes: body.size,
  checksum: body.checksum,
  offset: body.offset,
  data: body.data,
});

/**
 * Between the messages of the code and their form on the wire. Decoding checks a message first.
 *
 * @example
 * const decoded = MessageCodec.decodeRequestVote(body);
 * if (!decoded.ok) return reject(decoded.defect);
 */
export const MessageCodec = {
  /** The payload alone, as it is packed and split into chunks. */
  encodePayload: (payload: AppendPayload): AppendPayloadOnWire => ({
    prevIndex: payload.prevLogIndex,
    prevTerm: payload.prevLogTerm,
    entries: payload.entries,
    ...(payload.snapshot ? { whole: encodeSnapshot(payload.snapshot) } : {}),
  }),

  encodeAppendEntries: (request: AppendEntriesRequest): AppendEntriesRequestOnWire => ({
    to: request.targetId,
    group: request.groupId,
    term: request.term,
    lead: request.leaderId,
    commit: request.leaderCommit,
    ...MessageCodec.encodePayload(request),
    ...(request.chunk ? { piece: encodeChunk(request.chunk) } : {}),
  }),

  decodeAppendEntries(body: AppendEntriesRequestOnWire): Decoded<AppendEntriesRequest> {
    const defect = MessageValidation.appendEntriesDefect(body);
    if (defect !== undefined) return { ok: false, defect };
    const message: AppendEntriesRequest = {
      targetId: body.to,
      groupId: body.group,
      term: body.term,
      leaderId: body.lead,
      leaderCommit: body.commit,
      prevLogIndex: body.prevIndex,
      prevLogTerm: body.prevTerm,
      entries: body.entries,
      snapshot: body.whole && decodeSnapshot(body.whole),
      chunk: body.piece ? decodeChunk(body.piece) : undefined,
    };
    return { ok: true, message };
  },

  encodeAppendEntriesResponse: (response: AppendEntriesResponse): AppendEntriesResponseOnWire =>
    response.success
      ? { term: response.term, matched: true, match: response.matchIndex }
      : {
          term: response.term,
          matched: false,
          last: response.lastPossibleMatch,
          ...(response.receivedBytes === undefined ? {} : { received: response.receivedBytes }),
        },

  decodeAppendEntriesResponse(body: AppendEntriesResponseOnWire): Decoded<AppendEntriesResponse> {
    const defect = MessageValidation.appendEntriesResponseDefect(body);
    if (defect !== undefined) return { ok: false, defect };
    const { term } = body;
    return {
      ok: true,
      message: body.matched
        ? { term, success: true, matchIndex: body.match }
        : { term, success: false, lastPossibleMatch: body.last, receivedBytes: body.received },
    };
  },

  encodeRequestVote: (request: RequestVoteRequest): RequestVoteRequestOnWire => ({
    to: request.targetId,
    group: request.groupId,
    term: request.term,
    candidate: request.candidateId,
    lastIndex: request.lastLogIndex,
    lastTerm: request.lastLogTerm,
    ofNewborns: request.afterFullRestart,
    ...(request.leadershipTransferred ? { handedOver: true } : {}),
  }),

  decodeRequestVote(body: RequestVoteRequestOnWire): Decoded<RequestVoteRequest> {
    const defect = MessageValidation.requestVoteDefect(body);
    if (defect !== undefined) return { ok: false, defect };
    const message: RequestVoteRequest = {
      targetId: body.to,
      groupId: body.group,
      term: body.term,
      candidateId: body.candidate,
      lastLogIndex: body.lastIndex,
      lastLogTerm: body.lastTerm,
      afterFullRestart: Boolean(body.ofNewborns),
      leadershipTransferred: Boolean(body.handedOver),
    };
    return { ok: true, message };
  },

  encodeRequestVoteResponse: (response: RequestVoteResponse): RequestVoteResponseOnWire => ({
    term: response.term,
    granted: response.voteGranted,
  }),

  decodeRequestVoteResponse(body: RequestVoteResponseOnWire): Decoded<RequestVoteResponse> {
    const defect = MessageValidation.requestVoteResponseDefect(body);
    if (defect !== undefined) return { ok: false, defect };
    return { ok: true, message: { term: body.term, voteGranted: body.granted } };
  },

  encodeTimeoutNow: (request: TimeoutNowRequest): TimeoutNowRequestOnWire => ({
    to: request.targetId,
    group: request.groupId,
    term: request.term,
  }),

  /** Unchecked: the receiver compares every field with its own, and refuses what differs. */
  decodeTimeoutNow: (body: TimeoutNowRequestOnWire): TimeoutNowRequest => ({
    targetId: body.to,
    groupId: body.group,
    term: body.term,
  }),
};
