/** The state of a shard in memory, and its serialized form. */
import type { Stamp } from "../../common/stamp";
import type { BatchJob } from "./batchJob";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { LiveRequest } from "./liveRequest";
import type { PutOutcome } from "./operations";
import type { PendingSegment, SealedObjectLocation, SegmentCounts } from "../segments/segmentTypes";

/** Ledger entries and item results of a put whose stamp the frontier has not passed yet. Stored. */
export interface UnstablePut {
  stamp: Stamp;
  ledger: LedgerEntry[];
  results: { lot: string; item: number }[];
}

/** The outcome of a put, kept for retries of the put. Stored. */
export interface RememberedOutcome {
  /** Nobody retries the put after this time: wall-clock time, ms. */
  until: number;
  outcome: PutOutcome;
}

/** Access of the state machine to sealed objects, which never reads from disk. */
export interface SealedObjects {
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined;
  hasSameBody(found: SealedObjectLocation, bodyHash: string): boolean;
  add(segment: PendingSegment): void;
}

/** The state of a shard: open objects and those closed recently. Everything older is in segments. */
export interface ShardData {
  liveRequests: Map<string, LiveRequest>;
  /** Ids of closed requests that aren't sealed yet, oldest first. */
  closedRequests: string[];
  /** Ids of rejected requests, oldest first. They are removed once no delayed open with the id can arrive. */
  refusedRequests: string[];
  jobs: Map<string, BatchJob>;
  /** Ids of closed jobs that aren't sealed yet, oldest first. */
  closedJobs: string[];
  /**
   * Ids of rejected jobs with the stamp of the rejection. They are removed once no delayed put with the id can arrive.
   */
  refusedJobs: Map<string, Stamp>;
  /** Ids of closed jobs whose item bodies may still be read, oldest first. */
  jobsWithBodies: string[];
  /** The newest part of the time index: unsealed entries up to the frontier, in the order of their stamps. */
  ledger: LedgerEntry[];
  /** Puts in the log whose stamp the frontier has not passed yet. */
  unstablePuts: UnstablePut[];
  /** The temporal stability frontier: wall-clock time, ms. */
  frontier: number;
  /** The greatest frontier recorded in the log so far. It is the same on every replica at the same entry. */
  logClock: number;
  /** Outcomes by put id, oldest first. */
  putOutcomes: Map<string, RememberedOutcome>;
  /** The greatest index applied so far of each source. Deduplicates "note" operations. */
  notedSources: Record<string, number>;
  /** Segments that are sealed but not yet written as files. */
  pendingSegments: PendingSegment[];
  /** Number of segments sealed so far, including pending ones. */
  segmentCounts: SegmentCounts;
  /** Number of segments trimmed so far; these have the smallest segment numbers. */
  trimmedCounts: SegmentCounts;
  sealedObjects: SealedObjects;
}

/**
 * The serialized form of {@link ShardData}, plain JSON. It is part of snapshots on disk and is sent to new replicas.
 * Its field names are part of the data format and never change.
 */
export interface SerializedShard {
  works: LiveRequest[];
  worksClosed: string[];
  refused: string[];
  lots: BatchJob[];
  lotsClosed: string[];
  /** Missing in data that the first versions wrote. */
  lotsRefused?: [string, Stamp][];
  /** Missing in data that the first versions wrote. */
  bodiesKept?: string[];
  ledger: LedgerEntry[];
  waiting: UnstablePut[];
  frontier: number;
  clock: number;
  puts: [string, RememberedOutcome][];
  told: Record<string, number>;
  sealing: PendingSegment[];
  segments: SegmentCounts;
  trimmed: SegmentCounts;
}

const noSealedObjects: SealedObjects = { find: () => undefined, hasSameBody: () => false, add: () => undefined };
const zeroCounts = (): SegmentCounts => ({ works: 0, lots: 0, ledger: 0 });
const byId = <T extends { id: string }>(objects: T[]): Map<string, T> =>
  new Map(objects.map((object) => [object.id, object]));

/**
 * Creates, serializes and deserializes the state of a shard.
 *
 * @example
 * const data = ShardData.empty();
 * const copy = ShardData.deserialize(ShardData.serialize(data), segments);
 */
export const ShardData = {
  /** Creates the state of a new shard. */
  empty: (sealedObjects: SealedObjects = noSealedObjects): ShardData => ({
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
    segmentCounts: zeroCounts(),
    trimmedCounts: zeroCounts(),
    sealedObjects,
  }),

  /** Serializes the state. The order of the fields is part of the data format. */
  serialize: (data: ShardData): SerializedShard => ({
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
  }),

  /** Creates the state from its serialized form. The state shares the arrays of that form. */
  deserialize: (stored: SerializedShard, sealedObjects: SealedObjects): ShardData => ({
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
    sealedObjects,
  }),
};
