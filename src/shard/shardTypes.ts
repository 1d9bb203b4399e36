/** What a shard holds, and the operations that change it. */
import { Route } from "../controlState/configuration";
import type { Stamp } from "../common/stamp";
import type { SealedObjectLocation, PendingSegment, SegmentCounts } from "./segments";

export type StreamChunk = { n: number; stamp: Stamp; data: string };
export type Cause = { policy?: string; manifest?: number; view?: number; note?: string };
export type LiveRequestState = "accepted" | "claimed" | "done" | "failed" | "unknown" | "refused";
/** One request held by a shard: a stream, or a single request that may not be repeated. */
export type LiveRequest = {
  id: string;
  binding: string;
  bodyHash: string;
  body: string;
  keyed: boolean;
  safe: boolean;
  exact: boolean;
  stamp: Stamp;
  deadlineAt: number;
  state: LiveRequestState;
  round: number;
  replica: string;
  owner: string;
  pieces: StreamChunk[];
  outcome: string;
  order: number;
  version: number; // ops that touched it; the greater is the newer, for repair
  life: string; // the arrival it belongs to; a key may come again after it was refused
  closedAt: Stamp | null;
};
export type BatchItemState = "waiting" | "claimed" | "done" | "failed" | "unknown" | "ended" | "abandoned";
export type BatchItem = {
  state: BatchItemState;
  round: number;
  replica: string;
  owner: string;
  stamp: Stamp | null;
  result: string;
};
/** An item that is a whole request, passed to a replica as it is; its body stands among the lot's bodies, in base64. */
export type ItemRequest = { id: string; target: string; headers: Record<string, string>; tokens: number };
export type ItemOutcome = { item: number; state: "done" | "abandoned"; result: string };
export type BatchJob = {
  id: string;
  binding: string;
  bodyHash: string;
  bodies: string[];
  safe: boolean;
  stamp: Stamp;
  order: number;
  kept: Route; // as it was when the lot was accepted
  closedAt: Stamp | null;
  items: BatchItem[];
  open: number;
  ended: boolean;
  endedBy: string;
  positions: number[];
  version: number;
  requests?: ItemRequest[]; // items that are whole requests: safe to repeat, run without claims
  since?: number; // manifest version that such a lot was accepted under
  tokensWaiting?: number; // of its items that have no result yet
};
/** A lot as it is handed in. */
export type BatchJobSpec = Omit<
  BatchJob,
  "items" | "open" | "ended" | "endedBy" | "positions" | "stamp" | "version" | "closedAt" | "tokensWaiting"
>;
export type LedgerEntry = { stamp: Stamp; n: number; subject: string; decision: string; cause: Cause };
export type ShardOperation =
  | {
      op: "open";
      work: Omit<
        LiveRequest,
        "state" | "round" | "replica" | "owner" | "pieces" | "outcome" | "stamp" | "version" | "closedAt"
      >;
    }
  | { op: "claim"; id: string; round: number; replica: string; owner: string }
  | { op: "release"; id: string; round: number; why: string }
  | { op: "pieces"; id: string; round: number; first: number; data: string[] }
  | { op: "close"; id: string; round: number; state: "done" | "failed" | "unknown" | "refused"; outcome: string }
  | { op: "lot"; lot: BatchJobSpec; life?: string } // life: the arrival it belongs to; an id may come again after it was refused
  | { op: "lotRefuse"; lot: string } // no arrival up to this put is ever kept
  | { op: "itemResults"; lot: string; results: ItemOutcome[] } // of items run without a claim; the first result of each counts
  | { op: "itemClaim"; lot: string; item: number; round: number; replica: string; owner: string }
  | { op: "itemRelease"; lot: string; item: number; round: number; why: string }
  | { op: "itemResult"; lot: string; item: number; round: number; state: "done" | "failed" | "unknown"; result: string }
  | { op: "lotEnd"; lot: string; by: string }
  | {
      op: "note";
      entries: { subject: string; decision: string; cause: Cause }[];
      once?: { source: string; index: number };
    } // once: a source's entries come in the order of their index
  | { op: "trim"; kind: keyof SegmentCounts; below: number; detail: string };
export type Put = { putId: string; stamp: Stamp; ops: ShardOperation[]; cause: Cause };
/** What became of a put's last op that could be refused. */
export type PutOutcome = { tag: "done" } | { tag: "exists"; same: boolean; state: string } | { tag: "no"; why: string };
/** What a put decided and found, until the frontier has passed it. */
export type UnstablePut = { stamp: Stamp; ledger: LedgerEntry[]; results: { lot: string; item: number }[] };
/** What was sealed for good, as the state machine needs it: by id, without the disk. */
export type SealedObjects = {
  find(kind: "works" | "lots", id: string): SealedObjectLocation | undefined;
  hasSameBody(found: SealedObjectLocation, bodyHash: string): boolean;
  add(sealing: PendingSegment): void;
};
/** What is open, and what was closed lately; all else is in segments. */
export type ShardData = {
  liveRequests: Map<string, LiveRequest>;
  closedRequests: string[]; // closed and not yet sealed, oldest first
  refusedRequests: string[]; // kept only as long as a late open of theirs may still come
  jobs: Map<string, BatchJob>;
  closedJobs: string[];
  refusedJobs: Map<string, Stamp>; // by id, when; kept as long as a late put of theirs may still come
  jobsWithBodies: string[]; // closed lots whose items' bodies are still asked for, oldest first
  ledger: LedgerEntry[]; // the newest part of the time index: only what lies behind the frontier, in stamp order
  unstablePuts: UnstablePut[]; // logged, but not yet behind the frontier
  frontier: number;
  logClock: number; // the greatest frontier that the log itself records: the same on every copy at the same entry
  putOutcomes: Map<string, { until: number; outcome: PutOutcome }>;
  notedSources: Record<string, number>; // by source, the greatest index noted once
  pendingSegments: PendingSegment[]; // sealed, not yet written as files
  segmentCounts: SegmentCounts; // sealed so far, those in sealing among them
  trimmedCounts: SegmentCounts;
  sealedObjects: SealedObjects;
};
/**
 * The stored form of {@link ShardData}, plain JSON: what a slot file holds and what a new replica is sent. Its field
 * names are part of the data format and never change.
 */
export type SerializedShard = {
  works: LiveRequest[];
  worksClosed: string[];
  refused: string[];
  lots: BatchJob[];
  lotsClosed: string[];
  lotsRefused: [string, Stamp][];
  bodiesKept: string[];
  ledger: LedgerEntry[];
  waiting: UnstablePut[];
  frontier: number;
  clock: number;
  puts: [string, { until: number; outcome: PutOutcome }][];
  told: Record<string, number>;
  sealing: PendingSegment[];
  segments: SegmentCounts;
  trimmed: SegmentCounts;
};

/** What an operation works on: the shard's state, its put, and where its decisions and results go. */
export type OperationContext = {
  data: ShardData;
  put: Put;
  note: (subject: string, decision: string, cause?: Cause) => void;
  unstable: UnstablePut;
};
export type OperationOf<Tag extends ShardOperation["op"]> = Extract<ShardOperation, { op: Tag }>;

const closedStates: LiveRequestState[] = ["done", "failed", "unknown", "refused"];
/** Whether a request has ended. @example isClosed(work) */
export const isClosed = (work: LiveRequest): boolean => closedStates.includes(work.state);
