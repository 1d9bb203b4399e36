/**
 * Format of segment files: a header of 16 bytes (magic number, format version, length and CRC-32 of the body, each a
 * 32-bit big-endian integer), then the body. The body of a `.seg` file has one JSON object per line; the body of an
 * `.idx` file is a `SegmentIndex` as JSON.
 */
import { crc32 } from "zlib";
import { Hash } from "../../common/hash";
import type { BatchJob } from "../state/batchJob";
import type { LedgerEntry } from "../../common/ledgerEntry";
import type { LiveRequest } from "../state/liveRequest";
import type { PendingSegment, SegmentIndex, SegmentKind, SegmentObject, SegmentPart } from "./segmentTypes";
import { SubjectFilter } from "./subjectFilter";

const MAGIC: Record<SegmentPart, number> = {
  seg: 0x50425342, // "PBSB"
  idx: 0x50425349, // "PBSI"
};
const FORMAT_VERSION = 2;
const HEADER_BYTES = 16;
/** Hexadecimal digits kept of a digest: 52 bits, which a JavaScript number represents exactly. */
const DIGEST_HEX_DIGITS = 13;
/** Outcomes of closed objects. The position of a name is its code in a stored index. */
export const CLOSED_STATE_NAMES = ["done", "failed", "unknown", "finished", "ended"] as const;

/** The body of a file, or why it can't be read. */
export type DecodedFile = { tag: "body"; body: Buffer } | { tag: "unreadable"; why: string };

const closedStateCode = (object: LiveRequest | BatchJob): number => {
  const name = "state" in object ? object.state : object.ended ? "ended" : "finished";
  return (CLOSED_STATE_NAMES as readonly string[]).indexOf(name);
};

function ledgerIndexOf(entries: LedgerEntry[]): Pick<SegmentIndex, "to" | "ids" | "first" | "last" | "subjects"> {
  const last = entries[entries.length - 1].stamp;
  return { to: last.time, ids: [], first: entries[0].stamp, last, subjects: SubjectFilter.of(entries) };
}

function objectIndexOf(objects: (LiveRequest | BatchJob)[]): Pick<SegmentIndex, "to" | "ids"> {
  return {
    to: Math.max(...objects.map((object) => object.closedAt?.time ?? 0)),
    ids: objects.map((object) => [
      SegmentFormat.idDigest(object.id),
      SegmentFormat.bodyDigest(object.bodyHash),
      closedStateCode(object),
    ]),
  };
}

/**
 * Encodes and decodes segment files.
 *
 * @example
 * const body = SegmentFormat.encodeObjects(segment);
 * const file = SegmentFormat.encodeFile("seg", body);
 * SegmentFormat.decodeFile("seg", file) // { tag: "body", body }
 */
export const SegmentFormat = {
  /** The first 52 bits of the digest of an id. */
  idDigest: (id: string): number => parseInt(Hash.text(id).slice(0, DIGEST_HEX_DIGITS), 16),
  /** The first 52 bits of the digest of a body, which is given in hexadecimal. */
  bodyDigest: (bodyHash: string): number => parseInt(bodyHash.slice(0, DIGEST_HEX_DIGITS), 16) || 0,
  /** CRC-32 of a body. */
  checksum: (body: Buffer): number => crc32(body) >>> 0,

  /** Prepends the header to a body. */
  encodeFile(part: SegmentPart, body: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(MAGIC[part], 0);
    header.writeUInt32BE(FORMAT_VERSION, 4);
    header.writeUInt32BE(body.length, 8);
    header.writeUInt32BE(SegmentFormat.checksum(body), 12);
    return Buffer.concat([header, body]);
  },
  /** Checks the header and body of a file; undefined stands for a missing file. */
  decodeFile(part: SegmentPart, file: Buffer | undefined): DecodedFile {
    const unreadable = (why: string): DecodedFile => ({ tag: "unreadable", why });
    if (!file) return unreadable("is missing");
    if (file.length < HEADER_BYTES || file.readUInt32BE(0) !== MAGIC[part])
      return unreadable("is not a segment of ours");
    const version = file.readUInt32BE(4);
    if (version !== FORMAT_VERSION)
      return unreadable(`has format ${version}; this version reads format ${FORMAT_VERSION}`);
    const body = file.subarray(HEADER_BYTES);
    const isIntact = body.length === file.readUInt32BE(8) && SegmentFormat.checksum(body) === file.readUInt32BE(12);
    return isIntact ? { tag: "body", body } : unreadable("is damaged");
  },

  /** Encodes the body of a `.seg` file. */
  encodeObjects: (segment: PendingSegment): Buffer =>
    Buffer.from(segment.objects.map((object) => JSON.stringify(object)).join("\n"), "utf8"),
  /** Decodes all objects in the body of a `.seg` file. */
  decodeObjects: <Kind extends SegmentKind>(_kind: Kind, body: Buffer): SegmentObject[Kind][] =>
    body
      .toString("utf8")
      .split("\n")
      .map((line) => JSON.parse(line) as SegmentObject[Kind]),
  /** Decodes one object in the body of a `.seg` file. */
  decodeObject: <Kind extends SegmentKind>(_kind: Kind, body: Buffer, index: number): SegmentObject[Kind] =>
    JSON.parse(body.toString("utf8").split("\n")[index]) as SegmentObject[Kind],

  /** Encodes the body of an `.idx` file. */
  encodeIndex: (index: SegmentIndex): Buffer => Buffer.from(JSON.stringify(index), "utf8"),
  /** Decodes the body of an `.idx` file. */
  decodeIndex: (body: Buffer): SegmentIndex => JSON.parse(body.toString("utf8")) as SegmentIndex,
  /** Builds the index of a segment from the segment and its encoded objects. */
  buildIndex(segment: PendingSegment, body: Buffer): SegmentIndex {
    const common = {
      kind: segment.kind,
      number: segment.number,
      sum: SegmentFormat.checksum(body),
      bytes: body.length,
    };
    return segment.kind === "ledger"
      ? { ...common, ...ledgerIndexOf(segment.objects as LedgerEntry[]) }
      : { ...common, ...objectIndexOf(segment.objects as (LiveRequest | BatchJob)[]) };
  },
};
