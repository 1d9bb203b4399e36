import { crc32 } from "zlib";

/**
 * Records in a file, each in a frame: magic, length of the body, a number, and a CRC-32 over these and the body, all of 32
 * bits and big-endian; then the body.
 */

/** One record read from a file. */
export interface Frame {
  readonly number: number;
  readonly body: Buffer;
  /** Offset behind it, bytes. */
  readonly end: number;
}

/** What a log file holds. */
export interface ScannedLog {
  readonly bodies: Buffer[];
  /** Offset behind the last complete record, bytes. */
  readonly end: number;
  /** Whether a record behind the end shows that something synced was lost. */
  readonly damaged: boolean;
}

const HEADER_BYTES = 16;
const LENGTH_OFFSET = 4;
const NUMBER_OFFSET = 8;
const CHECKSUM_OFFSET = 12;

const checksumOf = (header: Buffer, body: Buffer): number =>
  (crc32 as (data: Buffer) => number)(Buffer.concat([header.subarray(0, CHECKSUM_OFFSET), body])) >>> 0;

/** The frame around a body. */
export function encodeFrame(magic: number, number: number, body: Buffer): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(magic, 0);
  header.writeUInt32BE(body.length, LENGTH_OFFSET);
  header.writeUInt32BE(number, NUMBER_OFFSET);
  header.writeUInt32BE(checksumOf(header, body), CHECKSUM_OFFSET);
  return Buffer.concat([header, body]);
}

/** The frame at an offset; undefined unless it is complete and undamaged. */
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

/** The frames from the start of a file up to the first that is incomplete or damaged. */
export function* decodeFrames(magic: number, data: Buffer): Generator<Frame> {
  for (let frame = decodeFrame(magic, data); frame; frame = decodeFrame(magic, data, frame.end)) yield frame;
}

/**
 * Reads a log. The number of each record is the offset at which its append began, plus one. Appends are synced one by one,
 * so only the last can be torn, anywhere in it: a complete record of a later append behind the end means that something
 * synced was lost. Records of former versions have the number 0; one of them behind the end is damage as well.
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
