import { Fault, Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import type {
  DigestRequest,
  DigestResponse,
  RepairRequest,
  RepairResponse,
  RepairSegmentsRequest,
} from "../messages/repairMessages";
import { RangeDigests } from "../state/rangeDigests";
import type { Leadership } from "./leadership";
import type { ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";
import type { SegmentTransfer } from "./segmentTransfer";

const DIGEST_TIMEOUT_MS = 1000;
const REPAIR_TIMEOUT_MS = 2000;
const REPAIR_SEGMENTS_TIMEOUT_MS = 10_000;
/** Replicas are compared only at the same position of the log, which takes several attempts under load. */
const COMPARE_ATTEMPTS_MAX = 6;

/**
 * Anti-entropy repair. The leader compares its state with that of every other member by digests and sends the objects
 * that differ. Every replica scrubs its segment files and copies damaged ones from another member.
 */
export class AntiEntropy {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly storage: ReplicaStorage,
    private readonly segmentTransfer: SegmentTransfer,
  ) {}

  /** Checks the files of one segment. If they are damaged, copies the `.seg` file from another member. */
  *scrub(turn: number): Task<void> {
    const { state } = this;
    const { env, hooks, shard } = state.context;
    const segment = state.segments.segmentToScrub(turn);
    if (!segment || state.isDiskBroken || state.role === "out") return;
    if (yield* state.segments.files.isIntact(segment, false)) return;
    const { kind, number } = segment;
    env.log(1413, { shard, segment: `${kind}-${number}` });
    for (const id of state.otherMembers()) {
      const address = hooks.addressOf(id);
      const fetched = address ? yield* this.segmentTransfer.fetchFile(address, kind, number, "seg") : undefined;
      if (!fetched?.ok) continue;
      state.counts.repaired += 1;
      return;
    }
  }

  /**
   * Compares the leader's state with every other member's and repairs theirs. Returns how many objects were repaired.
   */
  *repair(): Task<number> {
    let repaired = 0;
    for (const id of this.state.otherMembers())
      for (let attempt = 0; attempt < COMPARE_ATTEMPTS_MAX; attempt += 1) {
        const repairedAtMember = yield* this.repairMember(id);
        if (repairedAtMember === undefined) continue;
        repaired += repairedAtMember;
        break;
      }
    return repaired;
  }
  /** Returns how many objects were repaired at a member; undefined if its log was applied to another position. */
  private *repairMember(id: string): Task<number | undefined> {
    const { state } = this;
    const { rpc, hooks, shard } = state.context;
    const address = hooks.addressOf(id);
    if (!address || !this.leadership.holdsLease() || !state.view) return 0;
    const seq = state.appliedSeq;
    const own = RangeDigests.of(state.data);
    const response = yield* rpc.call(address, "shard.digest", { shard, seq }, DIGEST_TIMEOUT_MS);
    if (!response.ok) return 0;
    const { digests, segments } = response.value;
    if (!digests || state.appliedSeq !== seq) return undefined;
    if (segments !== state.segments.digest()) yield* this.repairSegmentsOf(id, address);
    const differing = new Set(own.flatMap((digest, range) => (digest === digests[range] ? [] : [range])));
    if (differing.size === 0) return 0;
    const isDiffering = (object: { id: string }): boolean => differing.has(RangeDigests.rangeOf(object.id));
    const request: RepairRequest = {
      shard,
      epoch: state.view.epoch,
      seq,
      works: [...state.data.liveRequests.values()].filter(isDiffering),
      lots: [...state.data.jobs.values()].filter(isDiffering),
    };
    const repaired = yield* rpc.call(address, "shard.mend", request, REPAIR_TIMEOUT_MS);
    return repaired.ok ? repaired.value.mended : 0;
  }
  private *repairSegmentsOf(id: string, address: string): Task<void> {
    const { env, rpc, hooks, selfId, shard } = this.state.context;
    const request: RepairSegmentsRequest = { shard, from: hooks.addressOf(selfId) ?? "" };
    const repaired = yield* rpc.call(address, "shard.mendSegments", request, REPAIR_SEGMENTS_TIMEOUT_MS);
    env.log(1408, { shard, segmentsOf: id, mended: repaired.ok });
  }

  /** Handles "shard.digest". */
  *onDigest({ seq }: DigestRequest): Task<Result<DigestResponse>> {
    const { state } = this;
    if (state.appliedSeq !== seq) return Fault.ok({});
    return Fault.ok({ digests: RangeDigests.of(state.data), segments: state.segments.digest() });
  }
  /** Handles "shard.mend" at a member whose objects differ. */
  *onRepair(request: RepairRequest): Task<Result<RepairResponse>> {
    return yield* this.state.withLock(() => this.repairObjects(request));
  }
  private *repairObjects({ epoch, seq, works, lots }: RepairRequest): Task<Result<RepairResponse>> {
    const { state } = this;
    const { env, shard } = state.context;
    if (epoch < state.sealedEpoch || state.isDiskBroken || state.appliedSeq < seq) return Fault.ok({ mended: 0 });
    const repaired = RangeDigests.repair(state.data, works, lots);
    if (repaired > 0) {
      state.counts.repaired += repaired;
      env.log(1408, { shard, objects: repaired });
      yield* this.storage.writeSnapshot();
    }
    return Fault.ok({ mended: repaired });
  }
  /** Handles "shard.mendSegments" at a member whose segments differ from the leader's. */
  *onRepairSegments({ from }: RepairSegmentsRequest): Task<Result<RepairResponse>> {
    const { state } = this;
    const before = state.segments.digest();
    const fetched = yield* this.segmentTransfer.fetchMissing(from);
    if (!fetched.ok) return fetched;
    const opened = yield* state.withLock(() =>
      state.segments.open(state.data.segmentCounts, state.data.trimmedCounts, state.data.pendingSegments),
    );
    if (!opened.ok) return opened;
    const repaired = state.segments.digest() === before ? 0 : 1;
    state.counts.repaired += repaired;
    return Fault.ok({ mended: repaired });
  }
}
