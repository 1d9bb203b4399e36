/** The state of a shard in memory, and its stored form. */
import type { Stamp } from "../../common/stamp";
import type { BatchJob } from "./batchJob";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { LiveRequest } from "./liveRequest";
import type { PutOutcome } from "./operations";
import type { PendingSegment, SealedObjectLocation, SegmentCounts } from "../segments/segmentTypes";

/** What a put has decided and which results it brought, until the frontier has passed its stamp. Stored. */
export interface UnstablePut {
  stamp: Stamp;
  ledger: LedgerEntry[];
  results: { lot: string; item: number }[];
}

/** The outcome of a put, for repeats of it. Stored. */
export interface RememberedOutcome {
  /** ms of wall time; nobody repeats the put later. */
  until: number;
  outcome: PutOutcome;
}

/** The sealed objects, as the state machine needs them: by id, without a read of the disk. */
export interface SealedObjects {
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined;
  hasSameBody(found: SealedObjectLocation, bodyHash: string): boolean;
  add(segment: PendingSegment): void;
}

/** The state of a shard: what is open, and what was closed lately. Everything older is in segments. */
export interface ShardData {
  liveRequests: Map<string, LiveRequest>;
  /** Ids of closed requests that aren't sealed yet, oldest first. */
  closedRequests: string[];
  /** Ids of refused requests, oldest first; forgotten once no open of theirs can arrive any more. */
  refusedRequests: string[];
  jobs: Map<string, BatchJob>;
  /** Ids of closed jobs that aren't sealed yet, oldest first. */
  closedJobs: string[];
  /** Ids of refused jobs with the stamp of the refusal; forgotten once no put of theirs can arrive any more. */
  refusedJobs: Map<string, Stamp>;
  /** Ids of closed jobs whose item bodies may still be read, oldest first. */
  jobsWithBodies: string[];
  /** The newest part of the time index: only what is behind the frontier, in the order of the stamps. */
  ledger: LedgerEntry[];
  /** Logged, but not yet behind the frontier. */
  unstablePuts: UnstablePut[];
  /** The temporal stability frontier, ms of wall time. */
  frontier: number;
  /** The greatest frontier that the log itself records: the same on every replica at the same entry. */
  logClock: number;
  /** By put id, oldest first. */
  putOutcomes: Map<string, RememberedOutcome>;
  /** By source, the greatest index noted so far: deduplicates "note" operations. */
  notedSources: Record<string, number>;
  /** Sealed, but not yet written as files. */
  pendingSegments: PendingSegment[];
  /** Segments sealed so far, pending ones included. */
  segmentCounts: SegmentCounts;
  /** Segments removed so far: those with a smaller number. */
  trimmedCounts: SegmentCounts;
  sealedObjects: SealedObjects;
}

/**
 * The stored form of {@link ShardData}, plain JSON: what a slot file contains and what a new replica is sent. Its field
 * names are part of the data format and never change.
 */
export interface SerializedShard {
  works: LiveRequest[];
  worksClosed: string[];
  refused: string[];
  lots: BatchJob[];
  lotsClosed: string[];
  /** Missing in data of the first versions. */
  lotsRefused?: [string, Stamp][];
  /** Missing in data of the first versions. */
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
 * Makes, stores and loads the state of a shard.
 *
 * @example
 * const data = ShardData.empty();
 * const copy = ShardData.deserialize(ShardData.serialize(data), segments);
 */
export const ShardData = {
  /** The state of a new shard. @example const data = ShardData.empty(segments); */
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

  /** The stored form. The order of its fields is part of the data format. @example JSON.stringify(ShardData.serialize(data)) */
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

  /** The state from its stored form, whose arrays it takes over. @example ShardData.deserialize(JSON.parse(text), segments) */
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
