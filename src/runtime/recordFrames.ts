import { crc32 } from "zlib";

/**
 * Records in a file, each in a frame. A frame consists of a magic, the length of the body, a number, and a CRC-32 of
 * these and the body, each a big-endian 32-bit integer, followed by the body.
 */

/** One record read from a file. */
export interface Frame {
  readonly number: number;
  readonly body: Buffer;
  /** The offset in bytes at which the frame ends. */
  readonly end: number;
}

/** The content of a log file. */
export interface ScannedLog {
  readonly bodies: Buffer[];
  /** The offset in bytes at which the last complete record ends. */
  readonly end: number;
  /** Whether a record after `end` shows that synced data was lost. */
  readonly damaged: boolean;
}

const HEADER_BYTES = 16;
const LENGTH_OFFSET = 4;
const NUMBER_OFFSET = 8;
const CHECKSUM_OFFSET = 12;

const checksumOf = (header: Buffer, body: Buffer): number =>
  (crc32 as (data: Buffer) => number)(Buffer.concat([header.subarray(0, CHECKSUM_OFFSET), body])) >>> 0;

/** Encodes a body as a frame. */
export function encodeFrame(magic: number, number: number, body: Buffer): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(magic, 0);
  header.writeUInt32BE(body.length, LENGTH_OFFSET);
  header.writeUInt32BE(number, NUMBER_OFFSET);
  header.writeUInt32BE(checksumOf(header, body), CHECKSUM_OFFSET);
  return Buffer.concat([header, body]);
}

/** Returns the frame at an offset; undefined if it is incomplete or damaged. */
export function decodeFrame(magic: number, data: Buffer, offset = 0): Frame | undefined {
  const bodyOffset = offset + HEADER_BYTES;
  if (bodyOffset > data.length || data.readUInt32BE(offset) !== magic) return undefined;
  const end = bodyOffset + data.readUInt32BE(offset + LENGTH_OFFSET);
  if (end > data.length) return undefined;
  const header = data.subarray(offset, bodyOffset);
  const body = data.subarray(bodyOffset, end);
  if (checksumOf(header, body) !== header.readUInt32BE(CHECKSUM_OFFSET)) return undefined;
  return { number: header.readUInt32BE(NUMBER_OFFSET), body, end };
}

/** Yields the frames from the start of a file up to the first that is incomplete or damaged. */
export function* decodeFrames(magic: number, data: Buffer): Generator<Frame> {
  for (let frame = decodeFrame(magic, data); frame; frame = decodeFrame(magic, data, frame.end)) yield frame;
}

/**
 * Reads a log. The number of a record is the offset at which its append began, plus one. Each append is synced before the
 * next, so only the last append can be torn, at any place in it. A complete record of a later append after `end`
 * therefore means that synced data was lost. Records of earlier versions have the number 0; such a record after `end`
 * counts as damage as well.
 */
export function scanLog(magic: number, data: Buffer): ScannedLog {
  const frames = [...decodeFrames(magic, data)];
  const end = frames.at(-1)?.end ?? 0;
  let damaged = false;
  for (let offset = end + 1; offset + HEADER_BYTES <= data.length && !damaged; offset += 1) {
    const later = decodeFrame(magic, data, offset);
    damaged = later !== undefined && (later.number === 0 || later.number - 1 > end);
  }
  return { bodies: frames.map((frame) => frame.body), end, damaged };
}
