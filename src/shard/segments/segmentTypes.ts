/** Types of segments: immutable files of objects that no longer change. */
import type { Stamp } from "../../common/stamp";
import type { BatchJob } from "../state/batchJob";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { LiveRequest } from "../state/liveRequest";

/** Closed live requests, closed batch jobs, or old ledger entries. The values are part of file names. */
export type SegmentKind = "works" | "lots" | "ledger";
export const SEGMENT_KINDS: readonly SegmentKind[] = ["works", "lots", "ledger"];

/** The two files of a segment: its objects and its index. The values are part of file names. */
export type SegmentPart = "seg" | "idx";

/** The type of the objects in the segments of a kind. */
export interface SegmentObject {
  works: LiveRequest;
  lots: BatchJob;
  ledger: LedgerEntry;
}

/** A segment that is sealed but not yet written. Every replica seals the same objects under the same number. Stored. */
export interface PendingSegment {
  kind: SegmentKind;
  number: number;
  objects: SegmentObject[SegmentKind][];
}

/**
 * Index of a segment. It is in memory, and stays on disk even after the objects of requests and jobs are trimmed.
 * Stored.
 */
export interface SegmentIndex {
  kind: SegmentKind;
  number: number;
  /** CRC-32 of the body of the file with the objects. */
  sum: number;
  /** Length of that body, bytes. */
  bytes: number;
  /** Time of the newest stamp in the segment, ms. */
  to: number;
  /** Digests of the ids and bodies of requests or jobs, and their outcomes (positions in `CLOSED_STATE_NAMES`). */
  ids: [id: number, body: number, state: number][];
  /** Oldest and newest stamp; only for ledger segments. */
  first?: Stamp;
  last?: Stamp;
  /** Bloom filter of the subjects, base64; only for ledger segments. */
  subjects?: string;
}

/** Location of a sealed object, and what the index of its segment contains about it. */
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
  /** Whether retention has removed the object, so that only its index is left. */
  trimmed: boolean;
}

/** Number of segments of each kind. Stored. */
export type SegmentCounts = Record<SegmentKind, number>;

/** A segment and the checksum of its content. Sent. */
export interface SegmentChecksum {
  kind: SegmentKind;
  number: number;
  /** CRC-32 of the body of the file with the objects. */
  sum: number;
}
