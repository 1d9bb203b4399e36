import { MessageCodec } from "../src/consensus/messageCodec";
import {
  AppendEntriesRequest,
  AppendEntriesResponse,
  RequestVoteRequest,
  RequestVoteResponse,
} from "../src/consensus/messages";
import { LogRecord, PersistentState, StorageCodec } from "../src/consensus/storageCodec";
import { ControlState } from "../src/controlState/controlState";
import { noop } from "./consensusGroups";

const state = { ...ControlState.empty(), group: "g", voters: ["a"] };
const entries = [{ index: 5, term: 2, command: noop }];
const throughJson = <Body>(body: Body): Body => JSON.parse(JSON.stringify(body)) as Body;

describe("consensus messages keep their field names and field order on the wire", () => {
  const heartbeat: AppendEntriesRequest = {
    targetId: "b",
    groupId: "g",
    term: 3,
    leaderId: "a",
    leaderCommit: 4,
    prevLogIndex: 4,
    prevLogTerm: 2,
    entries: [],
  };
  const header = '{"to":"b","group":"g","term":3,"lead":"a","commit":4,"prevIndex":4,"prevTerm":2';
  const snapshot = { lastIncludedIndex: 4, lastIncludedTerm: 2, state };
  const chunk = { transferId: "a-3-1", totalBytes: 9, checksum: 7, offset: 0, data: "AAAA" };

  test.each([
    ["a heartbeat", heartbeat, `${header},"entries":[]}`],
    ["entries", { ...heartbeat, entries }, `${header},"entries":[{"index":5,"term":2,"command":{"tag":"noop"}}]}`],
    [
      "a snapshot",
      { ...heartbeat, snapshot },
      `${header},"entries":[],"whole":{"index":4,"term":2,"state":${JSON.stringify(state)}}}`,
    ],
    [
      "a chunk",
      { ...heartbeat, chunk },
      `${header},"entries":[],"piece":{"transfer":"a-3-1","size":9,"checksum":7,"offset":0,"data":"AAAA"}}`,
    ],
  ])("in AppendEntries with %s", (_name, request: AppendEntriesRequest, json) => {
    const body = MessageCodec.encodeAppendEntries(request);
    expect(JSON.stringify(body)).toBe(json);
    expect(MessageCodec.decodeAppendEntries(throughJson(body))).toEqual({ ok: true, message: request });
  });

  test.each([
    [{ term: 3, success: true, matchIndex: 5 }, '{"term":3,"matched":true,"match":5}'],
    [{ term: 3, success: false, lastPossibleMatch: 4 }, '{"term":3,"matched":false,"last":4}'],
    [
      { term: 3, success: false, lastPossibleMatch: 4, receivedBytes: 8 },
      '{"term":3,"matched":false,"last":4,"received":8}',
    ],
  ] as [AppendEntriesResponse, string][])("in the AppendEntries response %j", (response, json) => {
    const body = MessageCodec.encodeAppendEntriesResponse(response);
    expect(JSON.stringify(body)).toBe(json);
    expect(MessageCodec.decodeAppendEntriesResponse(throughJson(body))).toEqual({ ok: true, message: response });
  });

  test.each([
    [false, ""],
    [true, ',"handedOver":true'],
  ])("in RequestVote with leadershipTransferred %s", (leadershipTransferred, suffix) => {
    const request: RequestVoteRequest = {
      targetId: "b",
      groupId: "g",
      term: 4,
      candidateId: "a",
      lastLogIndex: 5,
      lastLogTerm: 2,
      afterFullRestart: true,
      leadershipTransferred,
    };
    const body = MessageCodec.encodeRequestVote(request);
    expect(JSON.stringify(body)).toBe(
      `{"to":"b","group":"g","term":4,"candidate":"a","lastIndex":5,"lastTerm":2,"ofNewborns":true${suffix}}`,
    );
    expect(MessageCodec.decodeRequestVote(throughJson(body))).toEqual({ ok: true, message: request });
  });

  test("in the RequestVote response and in TimeoutNow", () => {
    const vote: RequestVoteResponse = { term: 4, voteGranted: true };
    const body = MessageCodec.encodeRequestVoteResponse(vote);
    expect(JSON.stringify(body)).toBe('{"term":4,"granted":true}');
    expect(MessageCodec.decodeRequestVoteResponse(throughJson(body))).toEqual({ ok: true, message: vote });
    const timeoutNow = { targetId: "b", groupId: "g", term: 4 };
    expect(JSON.stringify(MessageCodec.encodeTimeoutNow(timeoutNow))).toBe('{"to":"b","group":"g","term":4}');
    expect(MessageCodec.decodeTimeoutNow(MessageCodec.encodeTimeoutNow(timeoutNow))).toEqual(timeoutNow);
  });
});

test("decoding rejects malformed responses", () => {
  const appendResponses = [null, {}, { term: 3 }, { term: 3, matched: true }, { term: "3", matched: false, last: 4 }];
  for (const body of appendResponses)
    expect(MessageCodec.decodeAppendEntriesResponse(body as never)).toMatchObject({ ok: false });
  for (const body of [null, {}, { term: 4 }, { term: -1, granted: true }, { term: 4, granted: "yes" }])
    expect(MessageCodec.decodeRequestVoteResponse(body as never)).toMatchObject({ ok: false });
});

describe("the persistent state keeps its field names and field order on disk", () => {
  test("in a snapshot", () => {
    const persistent: PersistentState = {
      currentTerm: 3,
      votedFor: "a",
      snapshotIndex: 4,
      snapshotTerm: 2,
      snapshotState: state,
      entries,
    };
    const stored = StorageCodec.encodeState(persistent);
    expect(JSON.stringify(stored)).toBe(
      `{"term":3,"votedFor":"a","baseIndex":4,"baseTerm":2,"base":${JSON.stringify(state)},"entries":${JSON.stringify(entries)}}`,
    );
    expect(StorageCodec.decodeState(throughJson(stored))).toEqual(persistent);
  });

  test.each([
    [{ kind: "termAndVote", currentTerm: 3, votedFor: "a" }, '{"tag":"hard","term":3,"votedFor":"a"}'],
    [{ kind: "entries", entries }, `{"tag":"entries","entries":${JSON.stringify(entries)}}`],
    [{ kind: "truncation", fromIndex: 5 }, '{"tag":"cut","from":5}'],
  ] as [LogRecord, string][])("in the record %j", (record, json) => {
    const stored = StorageCodec.encodeRecord(record);
    expect(JSON.stringify(stored)).toBe(json);
    expect(StorageCodec.decodeRecord(throughJson(stored))).toEqual(record);
  });
});
