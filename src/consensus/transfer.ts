import { crc32, deflateRawSync, inflateRawSync } from "zlib";
import { Constants } from "../common/constants";
import { AppendRequest } from "./messages";

const checksum = crc32 as (data: Buffer) => number;

/** What an append carries beyond its header; where it is long, it is sent in pieces. */
export type Content = Pick<AppendRequest, "prevIndex" | "prevTerm" | "entries" | "whole">;
/** One piece of a packed content, with what tells it from pieces of others. */
export type TransferChunk = { transfer: string; size: number; checksum: number; offset: number; data: string };
export type Packed = { bytes: Buffer; checksum: number };

/**
 * Long contents of appends as bytes: packed once, sent piece by piece, checked and unpacked at the other end.
 *
 * @example
 * const packed = Transfer.pack(content);
 * const piece = Transfer.piece("3-1", packed, 0, 65_536);
 */
export const Transfer = {
  /** @example Transfer.pack({ prevIndex: 0, prevTerm: 0, entries: [] }).bytes.length */
  pack(content: Content): Packed {
    const bytes = deflateRawSync(Buffer.from(JSON.stringify(content), "utf8"), { level: 1 });
    return { bytes, checksum: checksum(bytes) };
  },
  /** @example Transfer.piece("3-1", packed, 65_536, 65_536) */
  piece: (transfer: string, packed: Packed, offset: number, length: number): TransferChunk => ({
    transfer,
    size: packed.bytes.length,
    checksum: packed.checksum,
    offset,
    data: packed.bytes.subarray(offset, offset + length).toString("base64"),
  }),
  /** Undefined for what was damaged on its way. @example Transfer.unpack(bytes, 17) */
  unpack(bytes: Buffer, expected: number): Content | undefined {
    if (checksum(bytes) !== expected) return undefined;
    try {
      const text = inflateRawSync(bytes, { maxOutputLength: Constants.transferUnpackedBytes }).toString("utf8");
      const content = JSON.parse(text) as unknown;
      return typeof content === "object" && content !== null ? (content as Content) : undefined;
    } catch {
      return undefined;
    }
  },
};

/** What taking a piece came to: how much is here, the whole, or why it was dropped. */
export type Taken =
  { tag: "more"; received: number } | { tag: "whole"; content: Content } | { tag: "dropped"; cause: string };

/**
 * The receiving end: one transfer at a time, in order. A piece of another one begins anew; one that doesn't follow on
 * what is here is not taken, and the sender is told where to go on.
 *
 * @example
 * const taken = receiver.take(piece);
 */
export class TransferReceiver {
  private current: { transfer: string; size: number; parts: Buffer[]; received: number } | undefined;

  /** @example receiver.take(piece).tag === "more" */
  take(piece: TransferChunk): Taken {
    const cause = TransferReceiver.fault(piece);
    if (cause !== undefined) return { tag: "dropped", cause };
    if (this.current?.transfer !== piece.transfer || this.current.size !== piece.size)
      this.current = { transfer: piece.transfer, size: piece.size, parts: [], received: 0 };
    const { current } = this;
    if (piece.offset !== current.received) return { tag: "more", received: current.received };
    const data = Buffer.from(piece.data, "base64");
    if (data.length === 0 || current.received + data.length > current.size) {
      this.current = undefined;
      return { tag: "dropped", cause: "piece of a wrong size" };
    }
    current.parts.push(data);
    current.received += data.length;
    if (current.received < current.size) return { tag: "more", received: current.received };
    this.current = undefined;
    const content = Transfer.unpack(Buffer.concat(current.parts), piece.checksum);
    return content ? { tag: "whole", content } : { tag: "dropped", cause: "transfer damaged on its way" };
  }
  private static fault(piece: TransferChunk): string | undefined {
    const { transfer, size, offset, data, checksum: sum } = piece;
    if (typeof transfer !== "string" || typeof data !== "string") return "malformed piece";
    if (![size, offset, sum].every((each) => Number.isSafeInteger(each) && each >= 0)) return "malformed piece";
    return size === 0 || size > Constants.transferBytes ? "transfer of a wrong size" : undefined;
  }
}
