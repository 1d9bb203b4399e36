import { Fault, Result } from "../../common/fault";
import type { StateTransferRequest, StateTransferResponse } from "../messages/viewChangeMessages";
import { Csp, Task } from "../../runtime/csp";
import type {
  CanExtendRequest,
  CanExtendResponse,
  OpenStateRequest,
  OpenStateResponse,
  SegmentsResponse,
} from "../messages/stateTransferMessages";
import { SEGMENT_KINDS, SegmentCounts, SegmentKind } from "../segments/segmentTypes";
import type { Leadership } from "./leadership";
import type { ReplicaSnapshot } from "./replicaSnapshot";
import type { ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";
import type { SegmentTransfer } from "./segmentTransfer";

const GOES_ON_TIMEOUT_MS = 500;
const OPEN_STATE_TIMEOUT_MS = 5000;
/** Attempts before the transfer fails because new segments were written during each of them. */
const ATTEMPTS_MAX = 20;

/** Number of segments of a kind that a snapshot doesn't contain and that must exist as files. */
const writtenSegments = ({ data }: ReplicaSnapshot, kind: SegmentKind): number =>
  data.segments[kind] - data.sealing.filter((segment) => segment.kind === kind).length;

/**
 * Copies a shard from the leader's replica while the leader goes on serving puts: first the segment files that are
 * missing here, then the open state. The new replica becomes a member only after a view change has brought its log to
 * the end of the sealed log.
 */
export class StateTransfer {
  private isUnderWay = false;

  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly storage: ReplicaStorage,
    private readonly segmentTransfer: SegmentTransfer,
  ) {}

  /** Handles "shard.fill" at the receiving replica. */
  *onTransfer({ from }: StateTransferRequest): Task<Result<StateTransferResponse>> {
    if (this.state.isDiskBroken) return Fault.fail("disk", "fill", this.state.context.selfId, "disk failed");
    if (this.isUnderWay) return Fault.ok({ tag: "underWay" });
    this.isUnderWay = true;
    try {
      return yield* this.copyFrom(from);
    } finally {
      this.isUnderWay = false;
    }
  }
  private *copyFrom(from: string): Task<Result<StateTransferResponse>> {
    const { state } = this;
    const { rpc, selfId, shard } = state.context;
    const end = { shard, seq: state.log.lastSeq, lastEpoch: state.log.lastEpoch };
    const extension = yield* rpc.call(from, "shard.goesOn", end, GOES_ON_TIMEOUT_MS);
    if (!extension.ok) return extension;
    if (state.exists && extension.value.goesOn) return Fault.ok({ tag: "ok" });
    for (let attempt = 0; attempt < ATTEMPTS_MAX; attempt += 1) {
      const fetched = yield* this.segmentTransfer.fetchMissing(from);
      if (!fetched.ok) return fetched;
      const request = { shard, member: selfId };
      const open = yield* rpc.call(from, "shard.openState", request, OPEN_STATE_TIMEOUT_MS);
      if (!open.ok) return open;
      const { epoch, saved } = open.value;
      if (this.hasAllSegments(saved, fetched.value)) return yield* this.lockAndReplaceState(epoch, saved);
    }
    return Fault.fail("timeout", "fill", selfId, "segments are sealed faster than they come");
  }
  /**
   * Whether every segment that the snapshot doesn't contain was fetched. One is missing if it was sealed after the
   * segments were listed, and written before the snapshot was taken.
   */
  private hasAllSegments(snapshot: ReplicaSnapshot, fetched: SegmentCounts): boolean {
    return SEGMENT_KINDS.every((kind) => writtenSegments(snapshot, kind) <= fetched[kind]);
  }
  private *lockAndReplaceState(epoch: number, received: ReplicaSnapshot): Task<Result<StateTransferResponse>> {
    return yield* this.state.withLock(() => this.replaceState(epoch, received));
  }
  private *replaceState(epoch: number, received: ReplicaSnapshot): Task<Result<StateTransferResponse>> {
    const { state } = this;
    const { env, selfId, shard } = state.context;
    if (state.isDiskBroken) return Fault.fail("disk", "fill", selfId, "disk failed");
    if (epoch < state.sealedEpoch || epoch < state.epoch)
      return Fault.fail("conflict", "fill", selfId, `sealed for ${state.sealedEpoch}`);
    // A member of the same view must never go back to an earlier position.
    if (state.isMember && state.view?.epoch === received.view?.epoch && received.seq < state.log.lastSeq)
      return Fault.fail("conflict", "fill", selfId, `holds ${state.log.lastSeq} already`);
    this.leadership.stop("filled from another");
    const replaced = yield* this.storage.replaceWith({ ...received, sealed: Math.max(state.sealedEpoch, epoch) });
    if (!replaced.ok) return replaced;
    Csp.offer(state.segmentsPending, true);
    state.role = received.view?.members.includes(selfId) ? "member" : "out";
    env.log(1407, { shard, seq: state.log.lastSeq });
    return Fault.ok({ tag: "ok" });
  }

  /** Handles "shard.goesOn" at the leader. */
  *onCanExtend({ seq = 0, lastEpoch = 0 }: CanExtendRequest): Task<Result<CanExtendResponse>> {
    return Fault.ok({ goesOn: this.state.log.canExtend({ seq, lastEpoch }) });
  }
  /** Handles "shard.segments" at the source replica. */
  *onSegments(): Task<Result<SegmentsResponse>> {
    const { data, segments } = this.state;
    return Fault.ok({
      counts: { ...data.segmentCounts },
      trimmed: { ...data.trimmedCounts },
      segments: segments.list(),
    });
  }
  /** Handles "shard.openState" at the leader. */
  *onOpenState({ member }: OpenStateRequest): Task<Result<OpenStateResponse>> {
    const { state } = this;
    const { env, selfId, shard } = state.context;
    if (!this.leadership.holdsLease() || !state.view) return Fault.fail("notLead", "fill", selfId, "");
    env.faultPoint(48, { shard, joiners: [member] });
    return Fault.ok({ epoch: state.view.epoch, saved: this.storage.snapshot() });
  }
}
