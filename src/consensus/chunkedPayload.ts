import { crc32, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";
import { MessageCodec } from "./messageCodec";
import { AppendPayload, PayloadChunk } from "./messages";
import { AppendPayloadOnWire } from "./wireMessages";

const checksumOf = crc32 as (data: Buffer) => number;
/** The fastest level: a payload is packed while followers wait for a heartbeat. */
const DEFLATE_LEVEL = 1;

/** A payload as bytes, with the CRC-32 of the bytes. */
export interface PackedPayload {
  bytes: Buffer;
  checksum: number;
}

/**
 * Payloads that are too long for one message, as bytes: packed once, sent chunk by chunk, checked and unpacked by the
 * follower.
 *
 * @example
 * const packed = ChunkedPayload.pack(payload);
 * const chunk = ChunkedPayload.chunk("3-1", packed, 0, 65_536);
 */
export const ChunkedPayload = {
  /** Deflates a payload. */
  pack(payload: AppendPayload): PackedPayload {
    const json = JSON.stringify(MessageCodec.encodePayload(payload));
    const bytes = deflateRawSync(Buffer.from(json, "utf8"), { level: DEFLATE_LEVEL });
    return { bytes, checksum: checksumOf(bytes) };
  },
  /** The chunk of at most `length` bytes from `offset` on. */
  chunk: (transferId: string, packed: PackedPayload, offset: number, length: number): PayloadChunk => ({
    transferId,
    totalBytes: packed.bytes.length,
    checksum: packed.checksum,
    offset,
    data: packed.bytes.subarray(offset, offset + length).toString("base64"),
  }),
  /** The payload in its form on the wire, its fields not checked yet; undefined if the bytes are damaged. */
  unpack(bytes: Buffer, expectedChecksum: number): Partial<AppendPayloadOnWire> | undefined {
    if (checksumOf(bytes) !== expectedChecksum) return undefined;
    try {
      const json = inflateRawSync(bytes, { maxOutputLength: Constants.unpackedPayloadMaxBytes }).toString("utf8");
      const payload: unknown = JSON.parse(json);
      return typeof payload === "object" && payload !== null ? payload : undefined;
    } catch {
      return undefined;
    }
  },
};
