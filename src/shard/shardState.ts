import invariant from "tiny-invariant";
import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import type { Sealing, SegmentCounts } from "./segments";
import { acceptJob, refuseJob, addItemResults, claimItem, releaseItem, addItemResult, endJob } from "./lotOperations";
import { openRequest, claimRequest, releaseRequest, addPieces, closeRequest } from "./requestOperations";
import { addNotes, trimSegments } from "./upkeepOperations";
import {
  Cause,
  SerializedShard,
  isClosed,
  LedgerEntry,
  BatchJob,
  ShardOperation,
  OperationContext,
  Put,
  PutOutcome,
  SealedIndex,
  ShardData,
  Waiting,
  LiveRequest,
} from "./shardTypes";

export * from "./shardTypes";

const nothingSealed: SealedIndex = { find: () => undefined, sameBody: () => false, take: () => undefined };
const none = (): SegmentCounts => ({ works: 0, lots: 0, ledger: 0 });

/** Each operation to its function. */
function applyOperation(context: OperationContext, op: ShardOperation): PutOutcome {
  switch (op.op) {
    case "open":
      return openRequest(context, op);
    case "claim":
      return claimRequest(context, op);
    case "release":
      return releaseRequest(context, op);
    case "pieces":
      return addPieces(context, op);
    case "close":
      return closeRequest(context, op);
    case "lot":
      return acceptJob(context, op);
    case "lotRefuse":
      return refuseJob(context, op);
    case "itemResults":
      return addItemResults(context, op);
    case "itemClaim":
      return claimItem(context, op);
    case "itemRelease":
      return releaseItem(context, op);
    case "itemResult":
      return addItemResult(context, op);
    case "lotEnd":
      return endJob(context, op);
    case "note":
      return addNotes(context, op);
    case "trim":
      return trimSegments(context, op);
    default: {
      const never: never = op;
      return never;
    }
  }
}

/**
 * The state machine of a shard: every copy applies the same puts in the same order.
 *
 * @example
 * const data = ShardState.empty();
 * ShardState.apply(data, { putId: "p1", stamp, ops: [{ op: "note", entries }], cause: {} });
 * ShardState.advance(data, now - Stamp.delay(bounds));
 * ShardState.seal(data);
 */
export const ShardState = {
  empty: (sealed: SealedIndex = nothingSealed): ShardData => ({
    works: new Map(),
    worksClosed: [],
    refused: [],
    lots: new Map(),
    lotsClosed: [],
    lotsRefused: new Map(),
    bodiesKept: [],
    ledger: [],
    waiting: [],
    frontier: 0,
    clock: 0,
    puts: new Map(),
    told: {},
    sealing: [],
    segments: none(),
    trimmed: none(),
    sealed,
  }),
  /** As plain JSON. @example JSON.stringify(ShardState.freeze(data)) */
  freeze({ sealed: _sealed, ...data }: ShardData): SerializedShard {
    return {
      ...data,
      works: [...data.works.values()],
      lots: [...data.lots.values()],
      lotsRefused: [...data.lotsRefused],
      puts: [...data.puts],
    };
  },
  /** @example ShardState.thaw(JSON.parse(text), segments) */
  thaw(frozen: SerializedShard, sealed: SealedIndex): ShardData {
    const byId = <T extends { id: string }>(objects: T[]): Map<string, T> =>
      new Map(objects.map((object) => [object.id, object]));
    return {
      ...frozen,
      works: byId(frozen.works),
      lots: byId(frozen.lots),
      lotsRefused: new Map(frozen.lotsRefused ?? []),
      bodiesKept: frozen.bodiesKept ?? [],
      puts: new Map(frozen.puts),
      sealed,
    };
  },

  /** Applies one put; a repeat of its id changes nothing and gets the first outcome. @example ShardState.apply(data, put).tag */
  apply(data: ShardData, put: Put): PutOutcome {
    const earlier = data.puts.get(put.putId);
    if (earlier) return earlier.outcome;
    const waiting: Waiting = { stamp: put.stamp, ledger: [], results: [] };
    let outcome: PutOutcome = { tag: "done" };
    const note = (subject: string, decision: string, cause: Cause = put.cause): void => {
      waiting.ledger.push({ stamp: put.stamp, n: waiting.ledger.length, subject, decision, cause });
    };
    for (const op of put.ops) {
      outcome = applyOperation({ data, put, note, waiting }, op);
      if (outcome.tag !== "done") break;
      const touched =
        "work" in op
          ? data.works.get(op.work.id)
          : "id" in op
            ? data.works.get(op.id)
            : op.op === "lot"
              ? data.lots.get(op.lot.id)
              : "lot" in op
                ? data.lots.get(op.lot)
                : undefined;
      if (touched) touched.version += 1;
    }
    if (waiting.ledger.length > 0 || waiting.results.length > 0) data.waiting.push(waiting);
    // a repeat comes under a newer stamp, but only as long as somebody still waits for the first
    const waitedFor = Math.max(put.stamp.time, ...put.ops.map((op) => (op.op === "open" ? op.work.deadlineAt : 0)));
    data.puts.set(put.putId, { until: waitedFor + Constants.putIdKeepMs, outcome });
    return outcome;
  },

  /**
   * What the log itself says of the time, before an entry's puts: here everything happens that must happen at the
   * same entry on every copy. Put ids and refusals that nobody can repeat any more are let go.
   * @example ShardState.tick(data, entry.frontier);
   */
  tick(data: ShardData, clock: number): void {
    ShardState.advance(data, clock);
    if (clock <= data.clock) return;
    data.clock = clock;
    for (const [id, { until }] of data.puts) {
      if (until >= clock) break;
      data.puts.delete(id);
    }
    for (const [id, { time }] of data.lotsRefused) {
      if (time + Constants.refusalKeepMs >= clock) break;
      data.lotsRefused.delete(id);
    }
    while (
      data.bodiesKept.length > 0 &&
      (data.lots.get(data.bodiesKept[0])?.closedAt?.time ?? 0) + Constants.jobBodiesKeepMs < clock
    ) {
      const job = data.lots.get(data.bodiesKept.shift()!);
      if (job) job.bodies = [];
    }
    while (
      data.refused.length > 0 &&
      (data.works.get(data.refused[0])?.closedAt?.time ?? 0) + Constants.refusalKeepMs < clock
    ) {
      const id = data.refused.shift()!;
      if (data.works.get(id)?.state === "refused") data.works.delete(id);
    }
  },
  /** Seals the oldest closed objects as soon as there are enough of them to be written as a segment. @example ShardState.seal(data); */
  seal(data: ShardData): void {
    const take = (kind: keyof SegmentCounts, objects: Sealing["objects"]): void => {
      invariant(
        objects.every((object) => object !== undefined),
        "what was closed is here until it is sealed",
      );
      const sealing: Sealing = { kind, number: data.segments[kind], objects };
      data.segments[kind] += 1;
      data.sealing.push(sealing);
      data.sealed.take(sealing);
    };
    const { works, lots: jobs, ledger } = Constants.segmentObjects;
    while (data.worksClosed.length >= works * 2) {
      const ids = data.worksClosed.splice(0, works);
      take(
        "works",
        ids.map((id) => data.works.get(id)!),
      );
      for (const id of ids) data.works.delete(id);
    }
    // a lot's results have their positions for good once the log's own clock has passed its last one
    while (
      data.lotsClosed.length >= jobs * 2 &&
      data.lotsClosed.slice(0, jobs).every((id) => data.lots.get(id)!.closedAt!.time <= data.clock)
    ) {
      const ids = data.lotsClosed.splice(0, jobs);
      for (const id of ids) data.lots.get(id)!.bodies = []; // nobody asks for the bodies of what was listed so long ago
      data.bodiesKept = data.bodiesKept.filter((id) => !ids.includes(id));
      take(
        "lots",
        ids.map((id) => data.lots.get(id)!),
      );
      for (const id of ids) data.lots.delete(id);
    }
    const settled = (): number => ShardState.after(data, { time: data.clock + 0.5, node: "", seq: 0 });
    while (settled() >= ledger * 2) take("ledger", data.ledger.splice(0, ledger));
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
      for (const { lot: job, item } of waiting.results) data.lots.get(job)?.positions.push(item);
    }
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
    for (let at = low; at < data.ledger.length; at += 1)
      if (data.ledger[at].subject === subject) return data.ledger[at];
    return undefined;
  },

  /** @example ShardState.isClosed(work) */
  isClosed,

  /** The range an object's name falls into, for repair. @example ShardState.bucketOf("lot-17") */
  bucketOf: (id: string): number => {
    let sum = 0;
    for (let at = 0; at < id.length; at += 1) sum = (sum * 31 + id.charCodeAt(at)) >>> 0;
    return sum % Constants.rangeBuckets;
  },
  /** One digest a range of object names. @example ShardState.digests(data)[3] */
  digests(data: ShardData): string[] {
    const ranges: string[][] = Array.from({ length: Constants.rangeBuckets }, () => []);
    for (const object of [...data.works.values(), ...data.lots.values()])
      ranges[ShardState.bucketOf(object.id)].push(JSON.stringify({ ...object, positions: 0 }));
    return ranges.map((range) => Hash.text(range.sort().join("\n")));
  },
  /** Takes the newer of each object; how many were mended. @example ShardState.mend(data, works, lots) */
  mend(data: ShardData, works: LiveRequest[], jobs: BatchJob[]): number {
    let mended = 0;
    for (const work of works)
      if (
        (data.works.get(work.id)?.version ?? -1) <= work.version &&
        JSON.stringify(data.works.get(work.id)) !== JSON.stringify(work)
      ) {
        data.works.set(work.id, work);
        mended += 1;
      }
    for (const job of jobs) {
      const ours = data.lots.get(job.id);
      if (
        (ours?.version ?? -1) <= job.version &&
        JSON.stringify({ ...ours, positions: 0 }) !== JSON.stringify({ ...job, positions: 0 })
      ) {
        data.lots.set(job.id, { ...job, positions: ours?.positions ?? job.positions });
        mended += 1;
      }
    }
    return mended;
  },
};
