import {
  isAcceptJobRequest,
  isEndJobRequest,
  isListJobRequest,
  isSubmitJobRequest,
} from "../src/storage/messages/batchJobMessages";
import { isOpenRequest, isReadRequest, isRunningRequest } from "../src/storage/messages/liveRequestMessages";
import { isQuotaReservation, isUsageRequest } from "../src/storage/messages/quotaMessages";
import { isLedgerReadRequest, isPutRequest, isTemporalGetRequest } from "../src/storage/messages/shardMessages";

type Body = Record<string, unknown>;

const stamp = { time: 1000, node: "node-1", seq: 0 };
const request = {
  id: "req-1",
  binding: "chat",
  bodyHash: "hash",
  body: "",
  keyed: false,
  safe: true,
  exact: true,
  deadlineAt: 5000,
  order: 10,
  life: "1000~node-1~0",
};
const item = { id: "i1", target: "/b/1", headers: { accept: "text/plain" }, tokens: 100 };
const job = {
  id: "lot-1",
  binding: "audit",
  bodyHash: "hash",
  bodies: ["Ym9keQ=="],
  requests: [item],
  safe: true,
  order: 10,
  kept: {},
  since: 1,
};
const tally = { shard: 3, epoch: 1, turn: 1, tokens: 200, asking: { "lot-1": 100 } };

/** For each method: its check, a body that passes the check, and changes each of which makes the body malformed. */
const cases: [string, (body: unknown) => boolean, Body, Body[]][] = [
  [
    "work.open",
    isOpenRequest,
    { shard: 3, stamp, work: request, caller: "", cause: {} },
    [
      { shard: 8 },
      { shard: "3" },
      { stamp: undefined },
      { stamp: { ...stamp, seq: -1 } },
      { work: { ...request, id: "" } },
      { work: { ...request, safe: "yes" } },
      { work: { ...request, deadlineAt: null } },
      { caller: 1 },
      { cause: [] },
    ],
  ],
  ["work.read", isReadRequest, { shard: 3, id: "req-1", after: 0, waitMs: 100 }, [{ after: -1 }, { waitMs: "100" }]],
  ["work.running", isRunningRequest, { ids: ["req-1"] }, [{ ids: "req-1" }, { ids: [1] }]],
  [
    "lot.handIn",
    isSubmitJobRequest,
    { shard: 3, stamp, life: "1000~node-1~0", lot: job, cause: {} },
    [
      { life: undefined },
      { lot: { ...job, requests: undefined } },
      { lot: { ...job, requests: [{ ...item, tokens: "100" }] } },
      { lot: { ...job, requests: [{ ...item, headers: { accept: 1 } }] } },
      { lot: { ...job, bodies: [1] } },
    ],
  ],
  [
    "lot.accept",
    isAcceptJobRequest,
    { shard: 3, stamp, lot: { ...job, requests: undefined, since: undefined }, cause: {} },
    [{ lot: null }, { lot: { ...job, kept: undefined } }, { stamp: 1000 }],
  ],
  [
    "lot.list",
    isListJobRequest,
    { shard: 3, id: "lot-1", from: 0, waitMs: 0, anyAge: true },
    [{ from: 0.5 }, { anyAge: 1 }, { id: "" }],
  ],
  ["lot.end", isEndJobRequest, { shard: 3, id: "lot-1", stamp, by: "caller" }, [{ by: undefined }, { stamp: {} }]],
  [
    "quota.reserve",
    isQuotaReservation,
    { shard: 3, binding: "audit", lot: "lot-1", tokens: 100, tally },
    [{ tokens: null }, { tally: { ...tally, asking: { "lot-1": "100" } } }, { tally: { ...tally, shard: -1 } }],
  ],
  [
    "quota.tallies",
    isUsageRequest,
    { binding: "audit", shards: [1, 4], anyCopy: false },
    [{ shards: ["1"] }, { anyCopy: undefined }],
  ],
  [
    "shard.put",
    isPutRequest,
    { shard: 3, put: { putId: "p-1", stamp, ops: [{ op: "note", entries: [] }], cause: {} } },
    [
      { put: undefined },
      { put: { putId: "", stamp, ops: [], cause: {} } },
      { put: { putId: "p-1", stamp, ops: [{}], cause: {} } },
      { put: { putId: "p-1", stamp, ops: {}, cause: {} } },
    ],
  ],
  ["ledger.read", isLedgerReadRequest, { shard: 3, after: "", limit: 100 }, [{ after: 1 }, { limit: -1 }]],
  [
    "temporal.get",
    isTemporalGetRequest,
    { shard: 3, subject: "lot lot-1", time: 1000, waitMs: 0 },
    [{ subject: undefined }, { time: "now" }],
  ],
];

test.each(cases)(
  "a well-formed body of %s passes its check, and malformed bodies and other values do not",
  (_method, isRequest, body, changes) => {
    expect(isRequest(JSON.parse(JSON.stringify(body)))).toBe(true);
    for (const change of changes) expect([change, isRequest({ ...body, ...change })]).toEqual([change, false]);
    for (const other of [undefined, null, 1, "text", [], {}]) expect(isRequest(other)).toBe(false);
  },
);
