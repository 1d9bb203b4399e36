import {
  AppendEntriesRequest,
  AppendEntriesResponse,
  AppendPayload,
  PayloadChunk,
  RequestVoteRequest,
  RequestVoteResponse,
  Snapshot,
  TimeoutNowRequest,
} from "./messages";
import { MessageDefect, MessageValidation } from "./messageValidation";
import {
  AppendEntriesRequestOnWire,
  AppendEntriesResponseOnWire,
  AppendPayloadOnWire,
  ChunkOnWire,
  RequestVoteRequestOnWire,
  RequestVoteResponseOnWire,
  SnapshotOnWire,
  TimeoutNowRequestOnWire,
} from "./wireMessages";

/** A decoded message, or the defect for which the message was not decoded. */
export type Decoded<Message> = { ok: true; message: Message } | { ok: false; defect: MessageDefect };

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
 * Converts consensus messages between their types in the code and their wire format. Except for TimeoutNow, decoding
 * validates a message first.
 */
export const MessageCodec = {
  /** Encodes the payload without the request header, to be packed and split into chunks. */
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

  /**
   * Does not validate the message, because the receiver compares every field with its own state and rejects any
   * difference.
   */
  decodeTimeoutNow: (body: TimeoutNowRequestOnWire): TimeoutNowRequest => ({
    targetId: body.to,
    groupId: body.group,
    term: body.term,
  }),
};
