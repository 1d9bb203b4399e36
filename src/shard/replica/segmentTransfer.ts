import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import { EnvironmentTools } from "../../runtime/env";
import type { SegmentCounts, SegmentKind, SegmentPart } from "../segments/segmentTypes";
import type { ReplicaState } from "./replicaState";

const LIST_TIMEOUT_MS = 2000;
const CHUNK_TIMEOUT_MS = 3000;

/** Copies segment files from another replica at a limited rate. */
export class SegmentTransfer {
  constructor(private readonly state: ReplicaState) {}

  /**
   * Copies the segments that are missing or damaged on this replica. Returns how many of each kind the other replica
   * has. Faults: "disk", "invalid", and those of the calls.
   *
   * @param from address of the other replica's node
   */
  *fetchMissing(from: string): Task<Result<SegmentCounts>> {
    const { rpc, shard } = this.state.context;
    const { files } = this.state.segments;
    const listed = yield* rpc.call(from, "shard.segments", { shard }, LIST_TIMEOUT_MS);
    if (!listed.ok) return listed;
    const { counts, trimmed, segments } = listed.value;
    for (const segment of segments) {
      const isTrimmed = segment.number < trimmed[segment.kind];
      if (yield* files.isIntact(segment, isTrimmed)) continue;
      const parts: SegmentPart[] = isTrimmed ? ["idx"] : ["seg", "idx"];
      for (const part of parts) {
        const fetched = yield* this.fetchFile(from, segment.kind, segment.number, part);
        if (!fetched.ok) return fetched;
      }
    }
    return Fault.ok(counts);
  }

  /** Copies one file. Returns the fault "invalid" if it is damaged. */
  *fetchFile(from: string, kind: SegmentKind, number: number, part: SegmentPart): Task<Result<true>> {
    const { state } = this;
    const { env, rpc, shard } = state.context;
    const chunks: Buffer[] = [];
    for (let offset = 0, size = 1; offset < size;) {
      const request = { shard, kind, number, part, from: offset };
      const chunk = yield* rpc.call(from, "shard.segmentPart", request, CHUNK_TIMEOUT_MS);
      if (!chunk.ok) return chunk;
      const bytes = Buffer.from(chunk.value.data, "base64");
      if (bytes.length === 0) return Fault.fail("invalid", "fill", from, "an empty piece");
      chunks.push(bytes);
      offset += bytes.length;
      size = chunk.value.size;
      state.counts.transferredBytes += bytes.length;
      yield* EnvironmentTools.sleep(env, (bytes.length * 1000) / Constants.segmentBytesPerSecond);
    }
    env.faultPoint(17);
    return yield* state.segments.files.writeReceived(kind, number, part, Buffer.concat(chunks));
  }
}
