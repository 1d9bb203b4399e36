import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { Task } from "../../runtime/csp";
import { CheckpointedLog } from "../../runtime/checkpointedLog";
import { EnvironmentTools } from "../../runtime/env";
import { ShardData } from "../state/shardData";
import type { Leadership } from "./leadership";
import type { LogRecord, ReplicaSnapshot } from "./replicaSnapshot";
import type { ReplicaState } from "./replicaState";

/** How often trimmed segments are removed while no segment is to be written, ms. */
const TRIM_CHECK_MS = 5000;

/**
 * Storage of a replica on disk: recovery at the start, log records, snapshots that compact the log, and segments. A
 * disk failure ends the leadership; the disk is retried later.
 */
export class ReplicaStorage {
  private isRetrying = false;
  /** Position of the last entry that was acknowledged before the disk failed; 0 while it has not. */
  private acknowledgedSeq = 0;

  constructor(
    private readonly state: ReplicaState,
    private readonly leadership: Leadership,
  ) {
    const { env, shard } = state.context;
    EnvironmentTools.runSupervised(env, env.scope, `segments of shard ${shard}`, () => this.writeSegments());
  }

  /** Whether the disk failed and has not been recovered since. */
  get isBroken(): boolean {
    return this.state.isDiskBroken || this.isRetrying;
  }

  /** Recovers the replica from disk. Returns the fault "disk" if that fails. */
  *recover(): Task<Result<true>> {
    const { state } = this;
    const opened = yield* state.diskLog.open();
    if (!opened.ok) return opened;
    const snapshot = opened.value.state as ReplicaSnapshot | undefined;
    if (snapshot) {
      const restored = yield* this.restore(snapshot);
      if (!restored.ok) return restored;
    }
    const records = opened.value.records as LogRecord[];
    for (const record of records) this.replay(record);
    state.exists = snapshot !== undefined || records.length > 0;
    state.applyLog();
    if (state.isMember) {
      state.role = "member";
      // A restarted leader may lack its last entries, which other members have synced. A new view starts from the
      // longest log, so it is needed before this replica leads again.
      if (state.view?.lead === state.context.selfId) state.viewChangeReason = "lead was restarted";
    }
    return Fault.ok(true as const);
  }
  private replay(record: LogRecord): void {
    const { state } = this;
    switch (record.tag) {
      case "seal":
        state.sealedEpoch = Math.max(state.sealedEpoch, record.epoch);
        break;
      case "view":
        state.view = record.view;
        break;
      case "entry":
        state.log.append([record.entry]);
        break;
    }
  }
  private *restore(snapshot: ReplicaSnapshot): Task<Result<true>> {
    const { state } = this;
    const { data } = snapshot;
    const opened = yield* state.segments.open(data.segments, data.trimmed, data.sealing);
    if (!opened.ok) return opened;
    state.log.reset(snapshot.seq, snapshot.lastEpoch);
    state.appliedSeq = snapshot.seq;
    state.appliedEpoch = snapshot.lastEpoch;
    state.sealedEpoch = Math.max(state.sealedEpoch, snapshot.sealed);
    state.view = snapshot.view ?? undefined;
    state.data = ShardData.deserialize(data, state.segments);
    state.exists = true;
    return opened;
  }

  /** Appends records to the log file and syncs them. */
  *write(records: LogRecord[]): Task<Result<true>> {
    const written = yield* this.state.diskLog.append(records);
    if (!written.ok) this.diskFailed(written.fault);
    return written;
  }
  /** Returns a snapshot of the state up to the last entry applied. */
  snapshot(): ReplicaSnapshot {
    const { state } = this;
    return {
      seq: state.appliedSeq,
      lastEpoch: state.appliedEpoch,
      sealed: state.sealedEpoch,
      view: state.view ?? null,
      data: ShardData.serialize(state.data),
    };
  }
  /** Writes a snapshot and starts a new log file after it. */
  *writeSnapshot(snapshot: ReplicaSnapshot = this.snapshot()): Task<Result<true>> {
    const written = yield* this.state.diskLog.checkpoint(snapshot);
    if (!written.ok) this.diskFailed(written.fault);
    return written;
  }
  /** Replaces the replica with a snapshot of another replica, on disk and in memory. */
  *replaceWith(snapshot: ReplicaSnapshot): Task<Result<true>> {
    const written = yield* this.writeSnapshot(snapshot);
    if (!written.ok) return written;
    const restored = yield* this.restore(snapshot);
    if (!restored.ok) this.diskFailed(restored.fault);
    return restored;
  }
  /** Writes a snapshot if the log is long. */
  *compactIfLong(): Task<void> {
    const { log, diskLog, appliedSeq } = this.state;
    const isLong =
      log.entriesSinceSnapshot >= Constants.shardLogMaxEntries || diskLog.logBytes >= Constants.shardLogMaxBytes;
    if (!isLong || appliedSeq !== log.lastSeq) return;
    log.entriesSinceSnapshot = 0;
    yield* this.writeSnapshot();
  }
  private diskFailed(fault: Fault): void {
    const { env, shard } = this.state.context;
    env.log(1404, { shard, fault });
    // A file beside the log may have failed: only a recovery from disk makes the replica whole again.
    this.state.diskLog.markFailed();
    this.leadership.stop("disk failed");
  }

  /**
   * Retries a disk that failed. Its content is read as at a start, and is trusted only after all of it was written and
   * synced again, because a failed sync leaves the content of the disk unknown.
   */
  *retryDisk(): Task<void> {
    if (!this.state.isDiskBroken || this.isRetrying) return;
    this.isRetrying = true;
    try {
      yield* this.state.withLock(() => this.recoverFromFailure());
    } finally {
      this.isRetrying = false;
    }
  }
  private *recoverFromFailure(): Task<void> {
    const { state } = this;
    const { env, shard } = state.context;
    const diskLog = state.newDiskLog();
    diskLog.markFailed();
    const probed = yield* diskLog.probe();
    if (!probed.ok) return;
    this.acknowledgedSeq = Math.max(this.acknowledgedSeq, state.log.lastSeq);
    state.diskLog = diskLog;
    state.reset();
    const recovered = yield* this.recover();
    const isComplete = recovered.ok && state.log.lastSeq >= this.acknowledgedSeq;
    if (!isComplete || !(yield* this.takeIntoUse(diskLog))) {
      state.role = "out";
      return;
    }
    this.acknowledgedSeq = 0;
    env.log(1414, { shard, seq: state.log.lastSeq });
  }
  /** Writes all that was read to new files. A replica without content has nothing to write, and must not get any. */
  private *takeIntoUse(diskLog: CheckpointedLog): Task<boolean> {
    const { state } = this;
    if (!state.exists) state.diskLog = state.newDiskLog();
    return !state.exists || (yield* diskLog.rewrite(this.snapshot())).ok;
  }

  /** Writes pending segments in the background. Until they are written, snapshots contain their objects. */
  private *writeSegments(): Task<void> {
    const { state } = this;
    const { env } = state.context;
    for (;;) {
      const { data } = state;
      const [next] = data.pendingSegments;
      if (!next || state.isDiskBroken) {
        if (!state.isDiskBroken) yield* state.segments.removeTrimmed();
        yield* EnvironmentTools.takeWithin(env, state.segmentsPending, TRIM_CHECK_MS);
        continue;
      }
      const written = yield* state.segments.write(next);
      if (!written.ok) this.diskFailed(written.fault);
      // State transfer may have replaced the state and its pending segments meanwhile.
      else if (state.data === data) data.pendingSegments.shift();
    }
  }
}
