import { Constants } from "../common/constants";
import { ChunkedPayload } from "./chunkedPayload";
import { PayloadChunk } from "./messages";
import { MessageDefect, MessageValidation } from "./messageValidation";
import { AppendPayloadOnWire } from "./wireMessages";

/** Result of receiving a chunk: the payload is still incomplete, it is complete, or the chunk was rejected. */
export type ChunkResult =
  | { tag: "incomplete"; receivedBytes: number }
  | { tag: "complete"; payload: Partial<AppendPayloadOnWire> }
  | { tag: "rejected"; defect: MessageDefect };

/** A payload that has been received in part. */
interface Transfer {
  id: string;
  totalBytes: number;
  parts: Buffer[];
  receivedBytes: number;
}

const rejected = (defect: MessageDefect): ChunkResult => ({ tag: "rejected", defect });

/**
 * Reassembles payloads from chunks, one payload at a time and in order. A chunk of another payload discards the current
 * one and starts over. A chunk at an unexpected offset is ignored, and `receivedBytes` tells the sender where to
 * continue.
 */
export class ChunkReceiver {
  private current: Transfer | undefined;

  receive(chunk: PayloadChunk): ChunkResult {
    const defect = MessageValidation.chunkDefect(chunk, Constants.packedPayloadMaxBytes);
    if (defect !== undefined) return rejected(defect);
    const transfer = this.transferOf(chunk);
    if (chunk.offset !== transfer.receivedBytes) return { tag: "incomplete", receivedBytes: transfer.receivedBytes };
    const data = Buffer.from(chunk.data, "base64");
    if (data.length === 0 || transfer.receivedBytes + data.length > transfer.totalBytes) {
      this.current = undefined;
      return rejected(MessageDefect.chunkSize);
    }
    transfer.parts.push(data);
    transfer.receivedBytes += data.length;
    if (transfer.receivedBytes < transfer.totalBytes)
      return { tag: "incomplete", receivedBytes: transfer.receivedBytes };
    this.current = undefined;
    const payload = ChunkedPayload.unpack(Buffer.concat(transfer.parts), chunk.checksum);
    return payload ? { tag: "complete", payload } : rejected(MessageDefect.payloadDamaged);
  }

  private transferOf({ transferId, totalBytes }: PayloadChunk): Transfer {
    if (this.current?.id !== transferId || this.current.totalBytes !== totalBytes)
      this.current = { id: transferId, totalBytes, parts: [], receivedBytes: 0 };
    return this.current;
  }
}
