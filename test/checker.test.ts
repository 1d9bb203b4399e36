import { Checker, CheckOptions, ObservedEndpoint } from "../src/tools/checker/checker";
import { History, LogPosition, Observation } from "../src/tools/history";

const endpoint = (id: string, runs: [string, number][], zone = "north"): ObservedEndpoint => ({
  settings: { id, district: zone },
  runs: runs.map(([run, at]) => ({ id: run, attempt: 1, at, kind: "single" as const, continued: 0 })),
});
type Plant = { seen: Observation[]; replicas?: ObservedEndpoint[]; options?: CheckOptions };
const lookup = (mine: boolean): Observation => ({ tag: "lookup", at: 1, tookMs: 1, status: 200, mine, ingress: "i" });
const result = (position: number, item: number, mine = true): Observation => ({
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
const steady = (from: number, to: number): Observation[] => {
  const all: Observation[] = [];
  for (let at = from; at <= to; at += 500) all.push(served(at, "lookup"), served(at, "stream"), served(at, "lot"));
  return all;
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

/** For every invariant: a history that breaks it, and one close by that does not. */
const plants: Record<string, { bad: Plant; good: Plant }> = {
  "right-caller": { bad: { seen: [lookup(false)] }, good: { seen: [lookup(true)] } },
  "no-false-success": {
    bad: { seen: [result(1, 0)], replicas: [endpoint("r", [])] },
    good: { seen: [result(1, 0)], replicas: [endpoint("r", [["L/0", 1]])] },
  },
  "never-twice": {
    bad: { seen: [], replicas: [endpoint("r", [["L/0", 1]]), endpoint("s", [["L/0", 9]])] },
    good: {
      seen: [],
      replicas: [
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
    bad: {
      seen: [{ tag: "busy", at: 1, tookMs: 1, kind: "lookup", requestId: "req-a", retryAfter: true }],
      replicas: [endpoint("r", [["req-a", 5]])],
    },
    good: {
      seen: [{ tag: "busy", at: 1, tookMs: 1, kind: "lookup", requestId: "req-b", retryAfter: true }],
      replicas: [endpoint("r", [["req-a", 5]])],
    },
  },
  "stream-exact": {
    bad: { seen: [{ tag: "streamPiece", stream: 1, n: 3, right: false }] },
    good: {
      seen: [
        { tag: "streamEnd", stream: 1, at: 1, tookMs: 1, firstMs: 1, pieces: 3, wanted: 3, resumes: 1, binding: "ask" },
      ],
    },
  },
  "lot-kept": {
    bad: { seen: [{ tag: "lotReread", lot: "L", at: 1, ingress: "i", order: "", complete: false }] },
    good: { seen: [{ tag: "lotReread", lot: "L", at: 1, ingress: "i", order: "", complete: true }] },
  },
  "acknowledged-on-every-member": {
    bad: { seen: [onDisk({ epoch: 3, seq: 9 }, { epoch: 3, seq: 10 })] },
    good: {
      seen: [onDisk({ epoch: 4, seq: 9 }, { epoch: 3, seq: 10 }), onDisk({ epoch: 3, seq: 10 }, { epoch: 3, seq: 10 })],
    },
  },
  "lot-readable": {
    bad: { seen: [{ tag: "lotReadable", lot: "L", ingress: "i", at: 5000, afterMs: 1600 }] },
    good: { seen: [{ tag: "lotReadable", lot: "L", ingress: "i", at: 5000, afterMs: 900 }] },
  },
  "one-position": {
    bad: {
      seen: [result(1, 0), { tag: "lotReread", lot: "L", at: 2, ingress: "j", order: "1,0", complete: true }],
      replicas: [endpoint("r", [["L/0", 1]])],
    },
    good: {
      seen: [result(1, 0), { tag: "lotReread", lot: "L", at: 2, ingress: "j", order: "0,1", complete: true }],
      replicas: [endpoint("r", [["L/0", 1]])],
    },
  },
  "ended-stops": {
    bad: { seen: [{ tag: "lotEnded", lot: "L", at: 1000 }], replicas: [endpoint("r", [["L/0", 4300]])] },
    good: { seen: [{ tag: "lotEnded", lot: "L", at: 1000 }], replicas: [endpoint("r", [["L/0", 3900]])] },
  },
  "goodbye-respected": {
    bad: { seen: [{ tag: "goodbye", at: 1000, replica: "r" }], replicas: [endpoint("r", [["req-a", 3300]])] },
    good: { seen: [{ tag: "goodbye", at: 1000, replica: "r" }], replicas: [endpoint("r", [["req-a", 2900]])] },
  },
  "drain-respected": {
    bad: { seen: [{ tag: "drained", at: 1000, district: "north" }], replicas: [endpoint("r", [["req-a", 6300]])] },
    good: { seen: [{ tag: "drained", at: 1000, district: "south" }], replicas: [endpoint("r", [["req-a", 6300]])] },
  },
  "config-in-force": {
    bad: { seen: [change("acknowledged", 2, "m"), inForce(2300, 1)] },
    good: { seen: [change("acknowledged", 2, "m"), inForce(1900, 1), inForce(2300, 2)] },
  },
  "config-never-back": {
    bad: { seen: [inForce(1, 2), inForce(2, 1)] },
    good: { seen: [inForce(1, 1), inForce(2, 2)] },
  },
  "config-at-day-end": {
    bad: { seen: [change("acknowledged", 2, "m"), { tag: "dayEnd", at: 9, version: 3, mark: "other" }] },
    good: { seen: [change("acknowledged", 2, "m"), { tag: "dayEnd", at: 9, version: 3, mark: "m,other" }] },
  },
  "loser-never-in-force": {
    bad: { seen: [change("refused", 0, "m"), inForce(1, 1, "m")] },
    good: { seen: [change("refused", 0, "m"), inForce(1, 1, "n")] },
  },
  "not-flooded": {
    bad: {
      seen: [{ tag: "replicaStarted", at: 1000, replica: "r", capacity: 2 }],
      replicas: [
        endpoint("r", [
          ["req-a", 1100],
          ["req-b", 1200],
          ["req-c", 1300],
        ]),
      ],
    },
    good: {
      seen: [{ tag: "replicaStarted", at: 1000, replica: "r", capacity: 2 }],
      replicas: [
        endpoint("r", [
          ["req-a", 1100],
          ["req-b", 1200],
          ["req-c", 2300],
        ]),
      ],
    },
  },
  "planned-moves-answer": {
    bad: {
      seen: [{ tag: "failed", at: 1, tookMs: 0, kind: "lookup", requestId: "", code: "connection", detail: "" }],
      options: { plannedOnly: true },
    },
    good: { seen: [{ tag: "stopped", at: 1, process: "ingress-1", unanswered: 0 }], options: { plannedOnly: true } },
  },
  "service-returns": {
    bad: { seen: [{ tag: "fault", at: 1000, fault: "f", heavy: true }, ...steady(0, 1000), ...steady(15_000, 30_000)] },
    good: {
      seen: [{ tag: "fault", at: 1000, fault: "f", heavy: true }, ...steady(0, 1000), ...steady(12_000, 30_000)],
    },
  },
  "one-ledger-order": {
    bad: { seen: [ledger("i", ["1~a~0", "2~a~0", "3~a~0", "4~a~0"]), ledger("j", ["1~a~0", "3~a~0", "4~a~0"])] },
    good: { seen: [ledger("i", ["1~a~0", "2~a~0", "3~a~0", "4~a~0"]), ledger("j", ["1~a~0", "2~a~0", "3~a~0"])] },
  },
};
const broken = ({ seen, replicas: endpoints = [], options = {} }: Plant): string[] => {
  const history = new History();
  for (const each of seen) history.add(each);
  return [...new Set(Checker.check(history, endpoints, options).map((violation) => violation.invariant))];
};

test("there is a planted violation for every invariant", () => {
  expect(Object.keys(plants).sort()).toEqual([...Checker.names].sort());
});
test.each(Object.entries(plants))(
  "%s: the planted violation is caught, its near neighbour is not",
  (name, { bad, good }) => {
    expect(broken(bad)).toContain(name);
    expect(broken(good)).toEqual([]);
  },
);
