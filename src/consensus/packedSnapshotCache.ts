import { ControlState } from "../controlState/controlState";
import { ChunkedPayload, PackedPayload } from "./chunkedPayload";
import { AppendPayload } from "./messages";

/**
 * Packs payloads for chunked transfer. The last packed snapshot is cached, so that it is packed only once for all
 * followers.
 */
export class PackedSnapshotCache {
  private last: { state: ControlState; packed: PackedPayload } | undefined;

  pack(payload: AppendPayload): PackedPayload {
    const state = payload.snapshot?.state;
    if (!state) return ChunkedPayload.pack(payload);
    if (this.last?.state !== state) this.last = { state, packed: ChunkedPayload.pack(payload) };
    return this.last.packed;
  }
  /** Discards the cached snapshot to free its memory. */
  clear(): void {
    this.last = undefined;
  }
}
