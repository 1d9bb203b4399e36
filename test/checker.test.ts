import { Checker, CheckOptions, ObservedEndpoint } from "../src/tools/checker/checker";
import { History, LogPosition, Observation } from "../src/tools/history";

const endpoint = (id: string, runs: [string, number][], zone = "north"): ObservedEndpoint => ({
  settings: { id, district: zone },
  runs: runs.map(([run, at]) => ({ id: run, attempt: 1, at, kind: "single" as const, continued: 0 })),
});
/** Input of the checker. */
type CheckInput = { observations: Observation[]; endpoints?: ObservedEndpoint[]; options?: CheckOptions };
const lookup = (mine: boolean): Observation => ({ tag: "lookup", at: 1, tookMs: 1, status: 200, mine, ingress: "i" });
const jobResult = (position: number, item: number, mine = true): Observation => ({
  tag: "lotResult",
  lot: "L",
  position,
  item,
  state: "done",
  at: 1,
  ingress: "i",
  mine,
});
const change = (outcome: "acknowledged" | "refused", version: number, mark: string): Observation => ({
  tag: "change",
  at: 0,
  what: "manifest",
  changeId: mark,
  outcome,
  version,
  mark,
});
const inForce = (at: number, version: number, mark = ""): Observation => ({
  tag: "inForce",
  at,
  node: "i",
  version,
  mark,
});
const served = (at: number, kind: "lookup" | "stream" | "lot"): Observation => ({ tag: "served", at, kind });
/** Calls of every kind, served every 500 ms from `from` to `to`. */
const servedCalls = (from: number, to: number): Observation[] => {
  const observations: Observation[] = [];
  for (let at = from; at <= to; at += 500)
    observations.push(served(at, "lookup"), served(at, "stream"), served(at, "lot"));
  return observations;
};
const onDisk = (stands: LogPosition, acknowledged: LogPosition): Observation => ({
  tag: "onDisk",
  at: 1,
  shard: 0,
  epoch: 4,
  member: "store-a",
  stands,
  acknowledged,
});
const ledger = (ingress: string, stamps: string[]): Observation => ({ tag: "ledger", at: 1, ingress, stamps });

/** For every invariant: a history that violates it, and a similar one that does not. */
const cases: Record<string, { violating: CheckInput; valid: CheckInput }> = {
  "right-caller": { violating: { observations: [lookup(false)] }, valid: { observations: [lookup(true)] } },
  "no-false-success": {
    violating: { observations: [jobResult(1, 0)], endpoints: [endpoint("r", [])] },
    valid: { observations: [jobResult(1, 0)], endpoints: [endpoint("r", [["L/0", 1]])] },
  },
  "never-twice": {
    violating: { observations: [], endpoints: [endpoint("r", [["L/0", 1]]), endpoint("s", [["L/0", 9]])] },
    valid: {
      observations: [],
      endpoints: [
        endpoint("r", [
          ["L/0", 1],
          ["L/1", 1],
          ["req-a", 1],
          ["req-a", 2],
        ]),
      ],
    },
  },
  "busy-never-ran": {
    violating: {
      observations: [{ tag: "busy", at: 1, tookMs: 1, kind: "lookup", requestId: "req-a", retryAfter: true }],
      endpoints: [endpoint("r", [["req-a", 5]])],
    },
    valid: {
      observations: [{ tag: "busy", at: 1, tookMs: 1, kind: "lookup", requestId: "req-b", retryAfter: true }],
      endpoints: [endpoint("r", [["req-a", 5]])],
    },
  },
  "cut-looks-cut": {
    violating: {
      observations: [{ tag: "directResponse", at: 1, requestId: "q", looksComplete: true, isWhole: false }],
    },
    valid: {
      observations: [
        { tag: "directResponse", at: 1, requestId: "q", looksComplete: false, isWhole: false },
        { tag: "directResponse", at: 1, requestId: "r", looksComplete: true, isWhole: true },
      ],
    },
  },
  "stream-exact": {
    violating: { observations: [{ tag: "streamPiece", stream: 1, n: 3, right: false }] },
    valid: {
      observations: [
        { tag: "streamEnd", stream: 1, at: 1, tookMs: 1, firstMs: 1, pieces: 3, wanted: 3, resumes: 1, binding: "ask" },
      ],
    },
  },
  "lot-kept": {
    violating: { observations: [{ tag: "lotReread", lot: "L", at: 1, ingress: "i", order: "", complete: false }] },
    valid: { observations: [{ tag: "lotReread", lot: "L", at: 1, ingress: "i", order: "", complete: true }] },
  },
  "acknowledged-on-every-member": {
    violating: { observations: [onDisk({ epoch: 3, seq: 9 }, { epoch: 3, seq: 10 })] },
    valid: {
      observations: [
        onDisk({ epoch: 4, seq: 9 }, { epoch: 3, seq: 10 }),
        onDisk({ epoch: 3, seq: 10 }, { epoch: 3, seq: 10 }),
      ],
    },
  },
  "lot-readable": {
    violating: { observations: [{ tag: "lotReadable", lot: "L", ingress: "i", at: 5000, afterMs: 1600 }] },
    valid: { observations: [{ tag: "lotReadable", lot: "L", ingress: "i", at: 5000, afterMs: 900 }] },
  },
  "one-position": {
    violating: {
      observations: [
        jobResult(1, 0),
        { tag: "lotReread", lot: "L", at: 2, ingress: "j", order: "1,0", complete: true },
      ],
      endpoints: [endpoint("r", [["L/0", 1]])],
    },
    valid: {
      observations: [
        jobResult(1, 0),
        { tag: "lotReread", lot: "L", at: 2, ingress: "j", order: "0,1", complete: true },
      ],
      endpoints: [endpoint("r", [["L/0", 1]])],
    },
  },
  "ended-stops": {
    violating: { observations: [{ tag: "lotEnded", lot: "L", at: 1000 }], endpoints: [endpoint("r", [["L/0", 4300]])] },
    valid: { observations: [{ tag: "lotEnded", lot: "L", at: 1000 }], endpoints: [endpoint("r", [["L/0", 3900]])] },
  },
  "goodbye-respected": {
    violating: {
      observations: [{ tag: "goodbye", at: 1000, replica: "r" }],
      endpoints: [endpoint("r", [["req-a", 3300]])],
    },
    valid: {
      observations: [{ tag: "goodbye", at: 1000, replica: "r" }],
      endpoints: [endpoint("r", [["req-a", 2900]])],
    },
  },
  "drain-respected": {
    violating: {
      observations: [{ tag: "drained", at: 1000, district: "north" }],
      endpoints: [endpoint("r", [["req-a", 6300]])],
    },
    valid: {
      observations: [{ tag: "drained", at: 1000, district: "south" }],
      endpoints: [endpoint("r", [["req-a", 6300]])],
    },
  },
  "config-in-force": {
    violating: { observations: [change("acknowledged", 2, "m"), inForce(2300, 1)] },
    valid: { observations: [change("acknowledged", 2, "m"), inForce(1900, 1), inForce(2300, 2)] },
  },
  "config-never-back": {
    violating: { observations: [inForce(1, 2), inForce(2, 1)] },
    valid: { observations: [inForce(1, 1), inForce(2, 2)] },
  },
  "config-at-day-end": {
    violating: { observations: [change("acknowledged", 2, "m"), { tag: "dayEnd", at: 9, version: 3, mark: "other" }] },
    valid: { observations: [change("acknowledged", 2, "m"), { tag: "dayEnd", at: 9, version: 3, mark: "m,other" }] },
  },
  "loser-never-in-force": {
    violating: { observations: [change("refused", 0, "m"), inForce(1, 1, "m")] },
    valid: { observations: [change("refused", 0, "m"), inForce(1, 1, "n")] },
  },
  "not-flooded": {
    violating: {
      observations: [{ tag: "replicaStarted", at: 1000, replica: "r", capacity: 2 }],
      endpoints: [
        endpoint("r", [
          ["req-a", 1100],
          ["req-b", 1200],
          ["req-c", 1300],
        ]),
      ],
    },
    valid: {
      observations: [{ tag: "replicaStarted", at: 1000, replica: "r", capacity: 2 }],
      endpoints: [
        endpoint("r", [
          ["req-a", 1100],
          ["req-b", 1200],
          ["req-c", 2300],
        ]),
      ],
    },
  },
  "planned-moves-answer": {
    violating: {
      observations: [
        { tag: "failed", at: 1, tookMs: 0, kind: "lookup", requestId: "", code: "connection", detail: "" },
      ],
      options: { plannedOnly: true },
    },
    valid: {
      observations: [{ tag: "stopped", at: 1, process: "ingress-1", unanswered: 0 }],
      options: { plannedOnly: true },
    },
  },
  "service-returns": {
    violating: {
      observations: [
        { tag: "fault", at: 1000, fault: "f", heavy: true },
        ...servedCalls(0, 1000),
        ...servedCalls(15_000, 30_000),
      ],
    },
    valid: {
      observations: [
        { tag: "fault", at: 1000, fault: "f", heavy: true },
        ...servedCalls(0, 1000),
        ...servedCalls(12_000, 30_000),
      ],
    },
  },
  "one-ledger-order": {
    violating: {
      observations: [ledger("i", ["1~a~0", "2~a~0", "3~a~0", "4~a~0"]), ledger("j", ["1~a~0", "3~a~0", "4~a~0"])],
    },
    valid: {
      observations: [ledger("i", ["1~a~0", "2~a~0", "3~a~0", "4~a~0"]), ledger("j", ["1~a~0", "2~a~0", "3~a~0"])],
    },
  },
};
const violatedInvariants = ({ observations, endpoints = [], options = {} }: CheckInput): string[] => {
  const history = new History();
  for (const observation of observations) history.add(observation);
  return [...new Set(Checker.check(history, endpoints, options).map((violation) => violation.invariant))];
};

test("there are cases for every invariant", () => {
  expect(Object.keys(cases).sort()).toEqual([...Checker.names].sort());
});
test.each(Object.entries(cases))(
  "%s: the checker reports the history that violates it, and nothing for a similar valid one",
  (name, { violating, valid }) => {
    expect(violatedInvariants(violating)).toContain(name);
    expect(violatedInvariants(valid)).toEqual([]);
  },
);
