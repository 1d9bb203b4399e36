import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import type { ReplicateRequest, ReplicateResponse } from "../messages/replicationMessages";
import type { Leadership } from "./leadership";
import type { LogRecord } from "./replicaSnapshot";
import type { ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";

/** The log has entries that the leader's log lacks, so that it can't be extended, only replaced by state transfer. */
const MUST_BE_REPLACED: ReplicateResponse = { tag: "behind", seq: -1, lastEpoch: -1 };

/** Replication at a member that isn't the leader: appends and syncs the leader's entries, and grants the lease. */
export class Follower {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly storage: ReplicaStorage,
  ) {}

  /** Handles "shard.replicate". */
  *onReplicate(request: ReplicateRequest): Task<Result<ReplicateResponse>> {
    return yield* this.state.withLock(() => this.append(request));
  }

  private *append(request: ReplicateRequest): Task<Result<ReplicateResponse>> {
    const { state } = this;
    const { env, selfId } = state.context;
    if (state.isDiskBroken) return Fault.ok({ tag: "broken" });
    if (request.epoch < state.sealedEpoch || request.epoch < state.epoch)
      return Fault.ok({ tag: "sealed", epoch: state.sealedEpoch });
    if (state.role === "lead" && state.view?.epoch === request.epoch)
      return Fault.fail("conflict", "replicate", selfId, "two leads in one epoch");
    const records: LogRecord[] = [];
    const isNewView = request.epoch > state.epoch;
    if (isNewView) {
      this.leadership.stop("newer view");
      records.push({ tag: "view", view: request.view });
    }
    const mismatch = this.mismatchOf(request);
    if (mismatch) return Fault.ok(mismatch);
    const newEntries = request.entries.filter((entry) => entry.seq > state.log.lastSeq);
    for (const entry of newEntries) records.push({ tag: "entry", entry });
    env.faultPoint(41);
    if (records.length > 0) {
      const written = yield* this.storage.write(records);
      if (!written.ok) return Fault.ok({ tag: "broken" });
    }
    state.exists = true;
    if (isNewView) this.enterView(request);
    state.role = "member";
    state.log.append(newEntries);
    state.applyLog();
    if (state.appliedSeq >= request.stable && state.log.epochAt(request.stable) !== undefined)
      state.advanceFrontier(request.frontier);
    state.grantedLeaseEnd = env.monotonicMs() + Constants.shardLeaseMs;
    yield* this.storage.compactIfLong();
    env.faultPoint(42);
    return Fault.ok({ tag: "ok", seq: state.log.lastSeq, lowDisk: state.isDiskLow });
  }
  /** The response to a request whose entries can't be appended to this log; undefined if they can. */
  private mismatchOf(request: ReplicateRequest): ReplicateResponse | undefined {
    const { log } = this.state;
    const { entries, prevSeq, prevEpoch } = request;
    if (prevSeq > log.lastSeq || log.epochAt(prevSeq) !== prevEpoch)
      return { tag: "behind", seq: log.lastSeq, lastEpoch: log.lastEpoch };
    const hasOtherEntry = entries.some((entry) => entry.seq <= log.lastSeq && log.epochAt(entry.seq) !== entry.epoch);
    // Entries of an older epoch that the leader lacks were never acknowledged by all members and must be discarded.
    const hasMore = entries.length === 0 && prevSeq < log.lastSeq && log.lastEpoch < request.epoch;
    return hasOtherEntry || hasMore ? MUST_BE_REPLACED : undefined;
  }
  private enterView({ view, epoch }: ReplicateRequest): void {
    const { state } = this;
    state.view = view;
    state.sealedEpoch = Math.max(state.sealedEpoch, epoch);
    state.viewChangeReason = "";
  }
}
