import { Constants } from "../constants";
import { Binding } from "../control/controlState";
import { Hash } from "../core/hash";
import { Stamp } from "../core/stamp";

export type Piece = { n: number; stamp: Stamp; data: string };
export type Cause = { policy?: string; manifest?: number; view?: number; note?: string };
export type WorkState = "accepted" | "claimed" | "done" | "failed" | "unknown" | "refused";
/** One request held by a shard: a stream, or a single request that may not be repeated. */
export type Work = {
  id: string; binding: string; bodyHash: string; body: string; keyed: boolean; safe: boolean; exact: boolean;
  stamp: Stamp; deadlineAt: number; state: WorkState; round: number; replica: string; owner: string; pieces: Piece[]; outcome: string; order: number;
  version: number; // ops that touched it; the greater is the newer, for repair
  life: string; // the arrival it belongs to; a key may come again after it was refused
  closedAt: Stamp | null;
};
export type ItemState = "waiting" | "claimed" | "done" | "failed" | "unknown" | "ended";
export type Item = { state: ItemState; round: number; replica: string; owner: string; stamp: Stamp | null; result: string };
export type Lot = {
  id: string; binding: string; bodyHash: string; bodies: string[]; safe: boolean; stamp: Stamp; order: number;
  kept: Binding; // as it was when the lot was accepted
  items: Item[]; open: number; ended: boolean; endedBy: string; positions: number[]; version: number;
};
export type LedgerEntry = { stamp: Stamp; n: number; subject: string; decision: string; cause: Cause };
export type Op =
  | { op: "open"; work: Omit<Work, "state" | "round" | "replica" | "owner" | "pieces" | "outcome" | "stamp" | "version" | "closedAt"> }
  | { op: "claim"; id: string; round: number; replica: string; owner: string }
  | { op: "release"; id: string; round: number; why: string }
  | { op: "pieces"; id: string; round: number; first: number; data: string[] }
  | { op: "close"; id: string; round: number; state: "done" | "failed" | "unknown" | "refused"; outcome: string }
  | { op: "lot"; lot: Omit<Lot, "items" | "open" | "ended" | "endedBy" | "positions" | "stamp" | "version"> }
  | { op: "itemClaim"; lot: string; item: number; round: number; replica: string; owner: string }
  | { op: "itemRelease"; lot: string; item: number; round: number; why: string }
  | { op: "itemResult"; lot: string; item: number; round: number; state: "done" | "failed" | "unknown"; result: string }
  | { op: "lotEnd"; lot: string; by: string }
  | { op: "note"; entries: { subject: string; decision: string; cause: Cause }[] };
export type Put = { putId: string; stamp: Stamp; ops: Op[]; cause: Cause };
/** What became of a put's last op that could be refused. */
export type PutOutcome = { tag: "done" } | { tag: "exists"; same: boolean; state: string } | { tag: "no"; why: string };
type Waiting = { stamp: Stamp; ledger: LedgerEntry[]; results: { lot: string; item: number }[] };
export type ShardData = {
  works: Record<string, Work>; workOrder: string[]; // closed ones, oldest first
  lots: Record<string, Lot>; lotOrder: string[];
  ledger: LedgerEntry[]; // the time index: only what lies behind the frontier, in stamp order
  waiting: Waiting[]; // logged, but not yet behind the frontier
  frontier: number;
  puts: Record<string, PutOutcome>; putOrder: string[];
};
const closedStates: WorkState[] = ["done", "failed", "unknown", "refused"];

/**
 * The state machine of a shard: every copy applies the same puts in the same order.
 *
 * @example
 * const data = ShardState.empty();
 * ShardState.apply(data, { putId: "p1", stamp, ops: [{ op: "note", entries }], cause: {} });
 * ShardState.advance(data, now - Stamp.delay(bounds));
 */
export const ShardState = {
  empty: (): ShardData => ({ works: {}, workOrder: [], lots: {}, lotOrder: [], ledger: [], waiting: [], frontier: 0, puts: {}, putOrder: [] }),

  /** Applies one put; a repeat of its id changes nothing and gets the first outcome. @example ShardState.apply(data, put).tag */
  apply(data: ShardData, put: Put): PutOutcome {
    const earlier = data.puts[put.putId];
    if (earlier) return earlier;
    const waiting: Waiting = { stamp: put.stamp, ledger: [], results: [] };
    let outcome: PutOutcome = { tag: "done" };
    const note = (subject: string, decision: string, cause: Cause = put.cause): void => {
      waiting.ledger.push({ stamp: put.stamp, n: waiting.ledger.length, subject, decision, cause });
    };
    for (const op of put.ops) {
      outcome = applyOp(data, put, op, note, waiting);
      if (outcome.tag !== "done") break;
      const touched = "work" in op ? data.works[op.work.id] : "id" in op ? data.works[op.id] : op.op === "lot" ? data.lots[op.lot.id] : "lot" in op ? data.lots[op.lot] : undefined;
      if (touched) touched.version += 1;
    }
    if (waiting.ledger.length > 0 || waiting.results.length > 0) data.waiting.push(waiting);
    data.puts[put.putId] = outcome;
    data.putOrder.push(put.putId);
    if (data.putOrder.length > Constants.putIdsKept) delete data.puts[data.putOrder.shift()!];
    return outcome;
  },

  /**
   * Rule 3: the index grows over the prefix that is stable both logically and temporally. All puts that are
   * logged here with τ ≤ frontier are indexed in stamp order; none of them can be overtaken any more.
   * @example ShardState.advance(data, 1000.5);
   */
  advance(data: ShardData, frontier: number): void {
    if (frontier <= data.frontier) return;
    data.frontier = frontier;
    const ready = data.waiting.filter((waiting) => waiting.stamp.time <= frontier);
    if (ready.length === 0) return;
    data.waiting = data.waiting.filter((waiting) => waiting.stamp.time > frontier);
    ready.sort((left, right) => Stamp.compare(left.stamp, right.stamp));
    for (const waiting of ready) {
      data.ledger.push(...waiting.ledger);
      for (const { lot, item } of waiting.results) data.lots[lot]?.positions.push(item);
    }
    if (data.ledger.length > Constants.retentionLedger) data.ledger.splice(0, data.ledger.length - Constants.retentionLedger);
  },

  /** Index of the first ledger entry with a stamp greater than the given one. @example ShardState.after(data, stamp) */
  after(data: ShardData, stamp: Stamp): number {
    let low = 0;
    let high = data.ledger.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (Stamp.compare(data.ledger[middle].stamp, stamp) > 0) high = middle;
      else low = middle + 1;
    }
    return low;
  },

  /**
   * Temporal read: the nearest version not prior to τ, out of the stable prefix.
   * "equal" is returned, "between" gets the next one, "none" is undefined.
   * @example ShardState.nearest(data, "lot L1", 1000)?.decision
   */
  nearest(data: ShardData, subject: string, time: number): LedgerEntry | undefined {
    let low = 0;
    let high = data.ledger.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (data.ledger[middle].stamp.time >= time) high = middle;
      else low = middle + 1;
    }
    for (let at = low; at < data.ledger.length; at += 1) if (data.ledger[at].subject === subject) return data.ledger[at];
    return undefined;
  },

  /** @example ShardState.isClosed(work) */
  isClosed: (work: Work): boolean => closedStates.includes(work.state),

  /** The range an object's name falls into, for repair. @example ShardState.bucketOf("lot-17") */
  bucketOf: (id: string): number => {
    let sum = 0;
    for (let at = 0; at < id.length; at += 1) sum = (sum * 31 + id.charCodeAt(at)) >>> 0;
    return sum % Constants.rangeBuckets;
  },
  /** One digest a range of object names. @example ShardState.digests(data)[3] */
  digests(data: ShardData): string[] {
    const ranges: string[][] = Array.from({ length: Constants.rangeBuckets }, () => []);
    for (const object of [...Object.values(data.works), ...Object.values(data.lots)])
      ranges[ShardState.bucketOf(object.id)].push(JSON.stringify({ ...object, positions: 0 }));
    return ranges.map((range) => Hash.text(range.sort().join("\n")));
  },
  /** Takes the newer of each object; how many were mended. @example ShardState.mend(data, works, lots) */
  mend(data: ShardData, works: Work[], lots: Lot[]): number {
    let mended = 0;
    for (const work of works)
      if ((data.works[work.id]?.version ?? -1) <= work.version && JSON.stringify(data.works[work.id]) !== JSON.stringify(work)) {
        data.works[work.id] = work;
        mended += 1;
      }
    for (const lot of lots) {
      const ours = data.lots[lot.id];
      if ((ours?.version ?? -1) <= lot.version && JSON.stringify({ ...ours, positions: 0 }) !== JSON.stringify({ ...lot, positions: 0 })) {
        data.lots[lot.id] = { ...lot, positions: ours?.positions ?? lot.positions };
        mended += 1;
      }
    }
    return mended;
  },
};

function applyOp(data: ShardData, put: Put, op: Op, note: (subject: string, decision: string, cause?: Cause) => void, waiting: Waiting): PutOutcome {
  switch (op.op) {
    case "open": {
      const known = data.works[op.work.id];
      // what was refused may come again, but only as an arrival later than the refusal
      const again = known?.state === "refused" && known.closedAt !== null && Stamp.compare(Stamp.parse(op.work.life)!, known.closedAt) > 0;
      if (known && !again) return { tag: "exists", same: known.bodyHash === op.work.bodyHash, state: known.state };
      if (again) data.workOrder = data.workOrder.filter((id) => id !== op.work.id);
      data.works[op.work.id] = { ...op.work, closedAt: null, stamp: put.stamp, state: "accepted", round: 0, replica: "", owner: "", pieces: [], outcome: "", version: 0 };
      note(`request ${op.work.id}`, `accepted for ${op.work.binding}`);
      return { tag: "done" };
    }
    case "claim": {
      const work = data.works[op.id];
      if (!work) return { tag: "no", why: "no such request" };
      if (work.state !== "accepted" || op.round !== work.round + 1) return { tag: "no", why: `request is ${work.state} in round ${work.round}` };
      Object.assign(work, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
      note(`request ${op.id}`, `claimed for replica ${op.replica}, round ${op.round}`);
      return { tag: "done" };
    }
    case "release": {
      const work = data.works[op.id];
      if (!work || work.state !== "claimed" || work.round !== op.round) return { tag: "no", why: "not claimed in this round" };
      work.state = "accepted";
      note(`request ${op.id}`, `released from replica ${work.replica}: ${op.why}`);
      return { tag: "done" };
    }
    case "pieces": {
      const work = data.works[op.id];
      if (!work || work.state !== "claimed" || work.round !== op.round) return { tag: "no", why: "not claimed in this round" };
      if (op.first !== work.pieces.length + 1) return { tag: "no", why: `next piece is ${work.pieces.length + 1}` };
      op.data.forEach((piece, at) => work.pieces.push({ n: op.first + at, stamp: put.stamp, data: piece }));
      return { tag: "done" };
    }
    case "close": {
      let work = data.works[op.id];
      if (!work) {
        if (op.state !== "refused") return { tag: "no", why: "no such request" };
        // refused before it was ever opened: a late open of the same id finds it closed
        work = data.works[op.id] = {
          id: op.id, binding: "", bodyHash: "", body: "", keyed: false, safe: false, exact: false, stamp: put.stamp, deadlineAt: 0,
          state: "accepted", round: 0, replica: "", owner: "", pieces: [], outcome: "", order: 0, version: 0, life: "", closedAt: null,
        };
      }
      if (ShardState.isClosed(work)) return { tag: "exists", same: true, state: work.state };
      if (op.state === "refused" ? work.state !== "accepted" : work.round !== op.round) return { tag: "no", why: `request is ${work.state} in round ${work.round}` };
      Object.assign(work, { state: op.state, outcome: op.outcome, body: "", closedAt: put.stamp });
      data.workOrder.push(op.id);
      if (data.workOrder.length > Constants.retentionRequests) delete data.works[data.workOrder.shift()!];
      note(`request ${op.id}`, `closed as ${op.state}: ${op.outcome.slice(0, 200)}`);
      return { tag: "done" };
    }
    case "lot": {
      const known = data.lots[op.lot.id];
      if (known) return { tag: "exists", same: known.bodyHash === op.lot.bodyHash, state: known.ended ? "ended" : known.open === 0 ? "finished" : "open" };
      const items = op.lot.bodies.map((): Item => ({ state: "waiting", round: 0, replica: "", owner: "", stamp: null, result: "" }));
      data.lots[op.lot.id] = { ...op.lot, stamp: put.stamp, items, open: items.length, ended: false, endedBy: "", positions: [], version: 0 };
      note(`lot ${op.lot.id}`, `accepted with ${items.length} items for ${op.lot.binding}`);
      return { tag: "done" };
    }
    case "itemClaim": {
      const lot = data.lots[op.lot];
      const item = lot?.items[op.item];
      if (!lot || !item) return { tag: "no", why: "no such item" };
      if (lot.ended) return { tag: "no", why: "lot is ended" };
      if (item.state !== "waiting" || op.round !== item.round + 1) return { tag: "no", why: `item is ${item.state} in round ${item.round}` };
      Object.assign(item, { state: "claimed", round: op.round, replica: op.replica, owner: op.owner });
      note(`item ${op.lot}/${op.item}`, `claimed for replica ${op.replica}, round ${op.round}`);
      return { tag: "done" };
    }
    case "itemRelease": {
      const lot = data.lots[op.lot];
      const item = lot?.items[op.item];
      if (!lot || !item || item.state !== "claimed" || item.round !== op.round) return { tag: "no", why: "not claimed in this round" };
      item.state = lot.ended ? "ended" : "waiting";
      if (lot.ended) closeItem(data, lot);
      note(`item ${op.lot}/${op.item}`, `released from replica ${item.replica}: ${op.why}`);
      return { tag: "done" };
    }
    case "itemResult": {
      const lot = data.lots[op.lot];
      const item = lot?.items[op.item];
      if (!lot || !item || item.state !== "claimed" || item.round !== op.round) return { tag: "no", why: "not claimed in this round" };
      Object.assign(item, { state: op.state, stamp: put.stamp, result: op.result });
      lot.bodies[op.item] = "";
      waiting.results.push({ lot: op.lot, item: op.item });
      closeItem(data, lot);
      note(`item ${op.lot}/${op.item}`, `result marked ${op.state}`);
      return { tag: "done" };
    }
    case "lotEnd": {
      const lot = data.lots[op.lot];
      if (!lot) return { tag: "no", why: "no such lot" };
      if (lot.ended) return { tag: "exists", same: true, state: "ended" };
      lot.ended = true;
      lot.endedBy = op.by;
      for (const item of lot.items)
        if (item.state === "waiting") {
          item.state = "ended";
          closeItem(data, lot);
        }
      note(`lot ${op.lot}`, `ended by ${op.by}`);
      return { tag: "done" };
    }
    case "note":
      for (const entry of op.entries) note(entry.subject, entry.decision, entry.cause);
      return { tag: "done" };
    default: {
      const never: never = op;
      return never;
    }
  }
}
function closeItem(data: ShardData, lot: Lot): void {
  lot.open -= 1;
  if (lot.open > 0) return;
  data.lotOrder.push(lot.id);
  if (data.lotOrder.length > Constants.retentionLots) delete data.lots[data.lotOrder.shift()!];
}
