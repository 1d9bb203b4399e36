import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { LogSyncRequest, LogSyncResponse } from "../messages/viewChangeMessages";
import { Csp, Task } from "../../runtime/csp";
import type { CatchUpRequest, CatchUpResponse } from "../messages/replicationMessages";
import type { Leadership } from "./leadership";
import type { LogRecord } from "./replicaSnapshot";
import { MEMBERS_MAX, ReplicaState } from "./replicaState";
import type { ReplicaStorage } from "./replicaStorage";

/**
 * Before a view is committed, brings the logs of its members to the end of the longest sealed log and syncs them. So
 * all members have every acknowledged entry.
 */
export class SealedLogSync {
  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
    private readonly storage: ReplicaStorage,
  ) {}

  /** Handles "shard.level" at the replica with the longest sealed log. */
  *onLogSync({ epoch, targets }: LogSyncRequest): Task<Result<LogSyncResponse>> {
    const { state } = this;
    const { env, selfId, shard } = state.context;
    const fault = this.faultFor(epoch);
    if (fault) return fault;
    const targetIds = targets.map(({ id }) => id);
    env.faultPoint(50, { shard, joiners: targetIds.filter((id) => !state.view?.members.includes(id)) });
    const syncedIds = [selfId];
    const finished = Csp.chan<true>(MEMBERS_MAX);
    const deadline = env.monotonicMs() + Constants.logSyncTimeoutMs;
    const sync = this;
    for (const { id, address } of targets)
      Csp.go(env.scope, `sync log of ${id}`, function* () {
        if (yield* sync.bringToEnd(address, epoch, deadline)) syncedIds.push(id);
        Csp.offer(finished, true);
      });
    for (let answered = 0; answered < targets.length; answered += 1) yield* Csp.take(finished);
    return this.faultFor(epoch) ?? Fault.ok({ ids: syncedIds });
  }
  /** The fault if this replica isn't sealed for the epoch; undefined if it is. */
  private faultFor(epoch: number): Result<never> | undefined {
    const { state } = this;
    const { selfId } = state.context;
    if (state.isDiskBroken) return Fault.fail("disk", "level", selfId, "disk failed");
    if (state.sealedEpochOfProcess === epoch && state.sealedEpoch === epoch && state.epoch < epoch) return undefined;
    return Fault.fail("conflict", "level", selfId, `sealed for ${state.sealedEpoch}`);
  }
  /**
   * Sends entries to a member until its log has the same end as this one. Returns false if that fails or takes too
   * long.
   */
  private *bringToEnd(address: string, epoch: number, deadline: number): Task<boolean> {
    const { log, context } = this.state;
    const { env, rpc, shard } = context;
    let from = log.lastSeq;
    while (env.monotonicMs() < deadline && !this.faultFor(epoch)) {
      const request: CatchUpRequest = {
        shard,
        epoch,
        prevSeq: from,
        prevEpoch: log.epochAt(from),
        entries: log.entriesAfter(from, Constants.catchUpEntriesMax),
      };
      const timeoutMs = Math.min(Constants.sealTimeoutMs, deadline - env.monotonicMs());
      const response = yield* rpc.call(address, "shard.catchUp", request, timeoutMs);
      if (!response.ok) {
        if (response.fault.tag !== "timeout" && response.fault.tag !== "broken") return false;
        continue;
      }
      const end = response.value;
      if (end.tag === "sealed" || end.tag === "broken") return false;
      if (end.tag === "ok" && end.seq === log.lastSeq && end.lastEpoch === log.lastEpoch) return true;
      // A member whose log can't be extended needs a state transfer first.
      if (!log.canExtend(end)) return false;
      from = end.seq;
    }
    return false;
  }

  /** Handles "shard.catchUp" at a member of the next view. */
  *onCatchUp(request: CatchUpRequest): Task<Result<CatchUpResponse>> {
    return yield* this.state.withLock(() => this.catchUp(request));
  }
  private *catchUp({ epoch, prevSeq, prevEpoch, entries }: CatchUpRequest): Task<Result<CatchUpResponse>> {
    const { state } = this;
    const { log } = state;
    const { env, selfId, shard } = state.context;
    if (state.isDiskBroken) return Fault.ok({ tag: "broken" });
    if (epoch < state.sealedEpoch || epoch <= state.epoch) return Fault.ok({ tag: "sealed", epoch: state.sealedEpoch });
    if (log.lastSeq !== prevSeq || log.lastEpoch !== prevEpoch)
      return Fault.ok({ tag: "behind", seq: log.lastSeq, lastEpoch: log.lastEpoch });
    const records: LogRecord[] = entries.map((entry) => ({ tag: "entry", entry }));
    if (state.sealedEpoch < epoch) records.unshift({ tag: "seal", epoch });
    if (records.length > 0) {
      const written = yield* this.storage.write(records);
      if (!written.ok) return Fault.ok({ tag: "broken" });
    }
    state.exists = true;
    state.sealedEpoch = epoch;
    state.sealedEpochOfProcess = epoch;
    this.leadership.stop("sealed", true);
    log.append(entries);
    state.applyLog();
    env.faultPoint(49, { shard, joiners: state.isMember ? [] : [selfId] });
    return Fault.ok({ tag: "ok", seq: log.lastSeq, lastEpoch: log.lastEpoch });
  }
}
