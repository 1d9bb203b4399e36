import invariant from "tiny-invariant";
import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Stamp } from "../common/stamp";
import type { PendingSegment, SegmentCounts } from "./segments";
import {
  acceptJob,
  refuseJob,
  addItemResults,
  claimItem,
  releaseItem,
  addItemResult,
  endJob,
} from "./batchJobOperations";
import { openRequest, claimRequest, releaseRequest, addPieces, closeRequest } from "./liveRequestOperations";
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
  SealedObjects,
  ShardData,
  UnstablePut,
  LiveRequest,
} from "./shardTypes";

export * from "./shardTypes";

const nothingSealed: SealedObjects = { find: () => undefined, hasSameBody: () => false, add: () => undefined };
const none = (): SegmentCounts => ({ works: 0, lots: 0, ledger: 0 });

const byId = <T extends { id: string }>(objects: T[]): Map<string, T> =>
  new Map(objects.map((object) => [object.id, object]));

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
  empty: (sealed: SealedObjects = nothingSealed): ShardData => ({
    liveRequests: new Map(),
    closedRequests: [],
    refusedRequests: [],
    jobs: new Map(),
    closedJobs: [],
    refusedJobs: new Map(),
    jobsWithBodies: [],
    ledger: [],
    unstablePuts: [],
    frontier: 0,
    logClock: 0,
    putOutcomes: new Map(),
    notedSources: {},
    pendingSegments: [],
    segmentCounts: none(),
    trimmedCounts: none(),
    sealedObjects: sealed,
  }),
  /** The stored form. The order of its fields is part of the data format. @example JSON.stringify(ShardState.freeze(data)) */
  serialize(data: ShardData): SerializedShard {
    return {
      works: [...data.liveRequests.values()],
      worksClosed: data.closedRequests,
      refused: data.refusedRequests,
      lots: [...data.jobs.values()],
      lotsClosed: data.closedJobs,
      lotsRefused: [...data.refusedJobs],
      bodiesKept: data.jobsWithBodies,
      ledger: data.ledger,
      waiting: data.unstablePuts,
      frontier: data.frontier,
      clock: data.logClock,
      puts: [...data.putOutcomes],
      told: data.notedSources,
      sealing: data.pendingSegments,
      segments: data.segmentCounts,
      trimmed: data.trimmedCounts,
    };
  },
  /** The state from its stored form. @example ShardState.thaw(JSON.parse(text), segments) */
  deserialize(stored: SerializedShard, sealed: SealedObjects): ShardData {
    return {
      liveRequests: byId(stored.works),
      closedRequests: stored.worksClosed,
      refusedRequests: stored.refused,
      jobs: byId(stored.lots),
      closedJobs: stored.lotsClosed,
      refusedJobs: new Map(stored.lotsRefused ?? []),
      jobsWithBodies: stored.bodiesKept ?? [],
      ledger: stored.ledger,
      unstablePuts: stored.waiting,
      frontier: stored.frontier,
      logClock: stored.clock,
      putOutcomes: new Map(stored.puts),
      notedSources: stored.told,
      pendingSegments: stored.sealing,
      segmentCounts: stored.segments,
      trimmedCounts: stored.trimmed,
      sealedObjects: sealed,
    };
  },

  /** Applies one put; a repeat of its id changes nothing and gets the first outcome. @example ShardState.apply(data, put).tag */
  apply(data: ShardData, put: Put): PutOutcome {
    const earlier = data.putOutcomes.get(put.putId);
    if (earlier) return earlier.outcome;
    const waiting: UnstablePut = { stamp: put.stamp, ledger: [], results: [] };
    let outcome: PutOutcome = { tag: "done" };
    const note = (subject: string, decision: string, cause: Cause = put.cause): void => {
      waiting.ledger.push({ stamp: put.stamp, n: waiting.ledger.length, subject, decision, cause });
    };
    for (const op of put.ops) {
      outcome = applyOperation({ data, put, note, unstable: waiting }, op);
      if (outcome.tag !== "done") break;
      const touched =
        "work" in op
          ? data.liveRequests.get(op.work.id)
          : "id" in op
            ? data.liveRequests.get(op.id)
            : op.op === "lot"
              ? data.jobs.get(op.lot.id)
              : "lot" in op
                ? data.jobs.get(op.lot)
                : undefined;
      if (touched) touched.version += 1;
    }
    if (waiting.ledger.length > 0 || waiting.results.length > 0) data.unstablePuts.push(waiting);
    // a repeat comes under a newer stamp, but only as long as somebody still waits for the first
    const waitedFor = Math.max(put.stamp.time, ...put.ops.map((op) => (op.op === "open" ? op.work.deadlineAt : 0)));
    data.putOutcomes.set(put.putId, { until: waitedFor + Constants.putIdKeepMs, outcome });
    return outcome;
  },

  /**
   * What the log itself says of the time, before an entry's puts: here everything happens that must happen at the
   * same entry on every copy. Put ids and refusals that nobody can repeat any more are let go.
   * @example ShardState.tick(data, entry.frontier);
   */
  advanceClock(data: ShardData, clock: number): void {
    ShardState.advanceFrontier(data, clock);
    if (clock <= data.logClock) return;
    data.logClock = clock;
    for (const [id, { until }] of data.putOutcomes) {
      if (until >= clock) break;
      data.putOutcomes.delete(id);
    }
    for (const [id, { time }] of data.refusedJobs) {
      if (time + Constants.refusalKeepMs >= clock) break;
      data.refusedJobs.delete(id);
    }
    while (
      data.jobsWithBodies.length > 0 &&
      (data.jobs.get(data.jobsWithBodies[0])?.closedAt?.time ?? 0) + Constants.jobBodiesKeepMs < clock
    ) {
      const job = data.jobs.get(data.jobsWithBodies.shift()!);
      if (job) job.bodies = [];
    }
    while (
      data.refusedRequests.length > 0 &&
      (data.liveRequests.get(data.refusedRequests[0])?.closedAt?.time ?? 0) + Constants.refusalKeepMs < clock
    ) {
      const id = data.refusedRequests.shift()!;
      if (data.liveRequests.get(id)?.state === "refused") data.liveRequests.delete(id);
    }
  },
  /** Seals the oldest closed objects as soon as there are enough of them to be written as a segment. @example ShardState.seal(data); */
  seal(data: ShardData): void {
    const take = (kind: keyof SegmentCounts, objects: PendingSegment["objects"]): void => {
      invariant(
        objects.every((object) => object !== undefined),
        "what was closed is here until it is sealed",
      );
      const sealing: PendingSegment = { kind, number: data.segmentCounts[kind], objects };
      data.segmentCounts[kind] += 1;
      data.pendingSegments.push(sealing);
      data.sealedObjects.add(sealing);
    };
    const { works, lots: jobs, ledger } = Constants.segmentObjects;
    while (data.closedRequests.length >= works * 2) {
      const ids = data.closedRequests.splice(0, works);
      take(
        "works",
        ids.map((id) => data.liveRequests.get(id)!),
      );
      for (const id of ids) data.liveRequests.delete(id);
    }
    // a lot's results have their positions for good once the log's own clock has passed its last one
    while (
      data.closedJobs.length >= jobs * 2 &&
      data.closedJobs.slice(0, jobs).every((id) => data.jobs.get(id)!.closedAt!.time <= data.logClock)
    ) {
      const ids = data.closedJobs.splice(0, jobs);
      for (const id of ids) data.jobs.get(id)!.bodies = []; // nobody asks for the bodies of what was listed so long ago
      data.jobsWithBodies = data.jobsWithBodies.filter((id) => !ids.includes(id));
      take(
        "lots",
        ids.map((id) => data.jobs.get(id)!),
      );
      for (const id of ids) data.jobs.delete(id);
    }
    const settled = (): number =>
      ShardState.firstLedgerIndexAfter(data, { time: data.logClock + 0.5, node: "", seq: 0 });
    while (settled() >= ledger * 2) take("ledger", data.ledger.splice(0, ledger));
  },

  /**
   * Rule 3: the index grows over the prefix that is stable both logically and temporally. All puts that are
   * logged here with τ ≤ frontier are indexed in stamp order; none of them can be overtaken any more.
   * @example ShardState.advance(data, 1000.5);
   */
  advanceFrontier(data: ShardData, frontier: number): void {
    if (frontier <= data.frontier) return;
    data.frontier = frontier;
    const ready = data.unstablePuts.filter((waiting) => waiting.stamp.time <= frontier);
    if (ready.length === 0) return;
    data.unstablePuts = data.unstablePuts.filter((waiting) => waiting.stamp.time > frontier);
    ready.sort((left, right) => Stamp.compare(left.stamp, right.stamp));
    for (const waiting of ready) {
      data.ledger.push(...waiting.ledger);
      for (const { lot: job, item } of waiting.results) data.jobs.get(job)?.positions.push(item);
    }
  },

  /** Index of the first ledger entry with a stamp greater than the given one. @example ShardState.after(data, stamp) */
  firstLedgerIndexAfter(data: ShardData, stamp: Stamp): number {
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
  rangeOf: (id: string): number => {
    let sum = 0;
    for (let at = 0; at < id.length; at += 1) sum = (sum * 31 + id.charCodeAt(at)) >>> 0;
    return sum % Constants.rangeBuckets;
  },
  /** One digest a range of object names. @example ShardState.digests(data)[3] */
  rangeDigests(data: ShardData): string[] {
    const ranges: string[][] = Array.from({ length: Constants.rangeBuckets }, () => []);
    for (const object of [...data.liveRequests.values(), ...data.jobs.values()])
      ranges[ShardState.rangeOf(object.id)].push(JSON.stringify({ ...object, positions: 0 }));
    return ranges.map((range) => Hash.text(range.sort().join("\n")));
  },
  /** Takes the newer of each object; how many were mended. @example ShardState.mend(data, works, lots) */
  repair(data: ShardData, works: LiveRequest[], jobs: BatchJob[]): number {
    let mended = 0;
    for (const work of works)
      if (
        (data.liveRequests.get(work.id)?.version ?? -1) <= work.version &&
        JSON.stringify(data.liveRequests.get(work.id)) !== JSON.stringify(work)
      ) {
        data.liveRequests.set(work.id, work);
        mended += 1;
      }
    for (const job of jobs) {
      const ours = data.jobs.get(job.id);
      if (
        (ours?.version ?? -1) <= job.version &&
        JSON.stringify({ ...ours, positions: 0 }) !== JSON.stringify({ ...job, positions: 0 })
      ) {
        data.jobs.set(job.id, { ...job, positions: ours?.positions ?? job.positions });
        mended += 1;
      }
    }
    return mended;
  },
};
