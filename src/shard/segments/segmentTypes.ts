/** Types of segments: files that are written once and contain objects that no longer change. */
import type { Stamp } from "../../common/stamp";
import type { BatchJob } from "../state/batchJob";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { LiveRequest } from "../state/liveRequest";

/** Closed live requests, closed batch jobs, or old ledger entries. Part of the file names. */
export type SegmentKind = "works" | "lots" | "ledger";
export const SEGMENT_KINDS: readonly SegmentKind[] = ["works", "lots", "ledger"];

/** The two files of a segment: its objects, and its index. Part of the file names. */
export type SegmentPart = "seg" | "idx";

/** The type of the objects in the segments of a kind. */
export interface SegmentObject {
  works: LiveRequest;
  lots: BatchJob;
  ledger: LedgerEntry;
}

/** A segment that is sealed, but not yet written. Every replica gives the same objects the same number. Stored. */
export interface PendingSegment {
  kind: SegmentKind;
  number: number;
  objects: SegmentObject[SegmentKind][];
}

/** Index of a segment, kept in memory, and on disk even after the objects were trimmed. Stored. */
export interface SegmentIndex {
  kind: SegmentKind;
  number: number;
  /** CRC-32 of the body of the file with the objects. */
  sum: number;
  /** Length of that body. */
  bytes: number;
  /** Time of the newest stamp in it, ms. */
  to: number;
  /** Digests of the ids and bodies of requests or jobs, and their outcomes (a position in `CLOSED_STATE_NAMES`). */
  ids: [id: number, body: number, state: number][];
  /** Oldest and newest stamp; ledger only. */
  first?: Stamp;
  last?: Stamp;
  /** Bloom filter over the subjects, base64; ledger only. */
  subjects?: string;
}

/** Where a sealed object is, and what its index says of it. */
export interface SealedObjectLocation {
  kind: SegmentKind;
  /** Number of the segment. */
  number: number;
  /** Index of the object in the segment. */
  objectIndex: number;
  /** Digest of the object's body. */
  body: number;
  /** "done", "failed", "unknown", "finished" or "ended". */
  state: string;
  /** The object was removed by the operator's retention; only its index is left. */
  trimmed: boolean;
}

/** A number of segments by kind. Stored. */
export type SegmentCounts = Record<SegmentKind, number>;

/** Identifies the content of a segment. Sent. */
export interface SegmentChecksum {
  kind: SegmentKind;
  number: number;
  /** CRC-32 of the body of the file with the objects. */
  sum: number;
}
