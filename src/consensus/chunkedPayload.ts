import { crc32, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";
import { MessageCodec } from "./messageCodec";
import { AppendPayload, PayloadChunk } from "./messages";
import { AppendPayloadOnWire } from "./wireMessages";

const checksumOf = crc32 as (data: Buffer) => number;
/** The fastest compression level, because packing delays the heartbeats to the followers. */
const DEFLATE_LEVEL = 1;

/** A compressed payload with the CRC-32 of its bytes. */
export interface PackedPayload {
  bytes: Buffer;
  checksum: number;
}

/**
 * Packs payloads that are too long for one message. The leader packs a payload once and sends it in chunks; the
 * follower verifies and unpacks it.
 */
export const ChunkedPayload = {
  /** Serializes a payload as JSON and compresses it with raw deflate. */
  pack(payload: AppendPayload): PackedPayload {
    const json = JSON.stringify(MessageCodec.encodePayload(payload));
    const bytes = deflateRawSync(Buffer.from(json, "utf8"), { level: DEFLATE_LEVEL });
    return { bytes, checksum: checksumOf(bytes) };
  },
  /** Returns the chunk of at most `length` bytes that starts at `offset`. */
  chunk: (transferId: string, packed: PackedPayload, offset: number, length: number): PayloadChunk => ({
    transferId,
    totalBytes: packed.bytes.length,
    checksum: packed.checksum,
    offset,
    data: packed.bytes.subarray(offset, offset + length).toString("base64"),
  }),
  /** Returns the payload in its wire format, with its fields not validated yet; undefined if the bytes are damaged. */
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
