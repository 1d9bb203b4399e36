import invariant from "tiny-invariant";
import { Constants } from "../../common/constants";
import type { Bounds } from "../../common/stamp";
import type { ShardView } from "../../controlState/shardView";
import type { ShardReplicaRole } from "../messages/viewChangeMessages";
import type { Rpc } from "../../rpc/rpc";
import { Chan, Csp, Task } from "../../runtime/csp";
import type { Environment } from "../../runtime/env";
import { CheckpointedLog } from "../../runtime/checkpointedLog";
import { SegmentStore } from "../segments/segmentStore";
import type { PutOutcome } from "../state/operations";
import { ShardData } from "../state/shardData";
import { ShardState } from "../state/shardState";
import { ShardLog } from "./shardLog";

/** What a replica asks of its storage node, and tells it. */
export interface ReplicaHooks {
  /** Address of a member; undefined if unknown. */
  addressOf(id: string): string | undefined;
  /** The bounds δ, ε and Δ in force. */
  bounds(): Bounds;
  /** Whether the node's clock is inside the bounds. */
  isClockTrusted(): boolean;
  /** A put is on every member, so long after it was queued, ms. */
  putCompleted(ms: number): void;
  leadershipStarted(): void;
  leadershipStopped(): void;
  /** Control should look at this shard now. */
  viewChangeNeeded(): void;
}

/** Where a replica runs, and which one it is. */
export interface ReplicaContext {
  readonly env: Environment;
  readonly rpc: Rpc;
  /** Id of this member. */
  readonly selfId: string;
  readonly shard: number;
  /** Folder of its files on disk. */
  readonly folder: string;
  readonly hooks: ReplicaHooks;
}

/** Numbers for the metrics, since the start of the process. */
export interface ReplicaCounts {
  puts: number;
  batches: number;
  /** Puts refused because their stamp was behind the frontier. */
  latePuts: number;
  /** Puts that took longer than the bounds allow. */
  overrunPuts: number;
  /** Objects and segments taken over from another replica. */
  repaired: number;
  /** Bytes of segments copied from another replica. */
  transferredBytes: number;
}

/** Most members of a view: capacity of the channels on which their responses are collected. */
export const MEMBERS_MAX = 16;
/** Format of a shard's snapshots and logs on disk. */
const DISK_FORMAT = 2;

/**
 * What the parts of a replica share: its view, its log, the state that the log gives, and the lock under which these are
 * changed and written.
 */
export class ReplicaState {
  /** The last view that was installed; undefined before the first. */
  view: ShardView | undefined;
  /** Epochs below this one are sealed: their entries are refused. */
  sealedEpoch = 0;
  /** Epoch for which this process has sealed the log; 0 for none. A seal of an earlier process doesn't let it lead. */
  sealedEpochOfProcess = 0;
  readonly log = new ShardLog();
  appliedSeq = 0;
  appliedEpoch = 0;
  data: ShardData;
  readonly segments: SegmentStore;
  role: ShardReplicaRole = "out";
  /** Whether there is a replica of the shard here: a log or a snapshot on disk. */
  exists = false;
  /** Why a view change is called for; empty if it isn't. */
  viewChangeReason = "";
  /** End of the lease granted to the leader, monotonic ms. A restarted member may have granted one just before. */
  grantedLeaseEnd: number;
  /** Whether the disk is nearly full: nothing new is accepted. */
  isDiskLow = false;
  diskLog: CheckpointedLog;
  /** Signals that there may be segments to write. */
  readonly segmentsPending: Chan<true> = Csp.sliding(1);
  readonly counts: ReplicaCounts = {
    puts: 0,
    batches: 0,
    latePuts: 0,
    overrunPuts: 0,
    repaired: 0,
    transferredBytes: 0,
  };
  private readonly lock: Chan<true> = Csp.chan(1);
  private readonly waitingReaders = new Set<Chan<true>>();

  constructor(readonly context: ReplicaContext) {
    const { env, folder } = context;
    this.diskLog = this.newDiskLog();
    this.segments = new SegmentStore(env, folder);
    this.data = ShardData.empty(this.segments);
    this.segments.trimmedCounts = this.data.trimmedCounts;
    this.grantedLeaseEnd = env.monotonicMs() + Constants.shardLeaseMs;
    Csp.offer(this.lock, true);
  }

  /** The epoch of the view; 0 before the first. */
  get epoch(): number {
    return this.view?.epoch ?? 0;
  }
  get isDiskBroken(): boolean {
    return this.diskLog.hasFailed;
  }
  /** Whether this replica is a member of its view. */
  get isMember(): boolean {
    return !!this.view?.members.includes(this.context.selfId);
  }
  /** The other members of the view. @example state.otherMembers().length */
  otherMembers(): string[] {
    return (this.view?.members ?? []).filter((id) => id !== this.context.selfId);
  }
  /** The snapshots and the log on disk, not yet opened. @example state.diskLog = state.newDiskLog(); */
  newDiskLog(): CheckpointedLog {
    return new CheckpointedLog(this.context.env, this.context.folder, DISK_FORMAT);
  }

  /** Forgets everything but the sealed epoch, before it is read from disk again. @example state.reset(); */
  reset(): void {
    this.log.reset(0, 0);
    this.log.entriesSinceSnapshot = 0;
    this.appliedSeq = 0;
    this.appliedEpoch = 0;
    this.sealedEpochOfProcess = 0;
    this.view = undefined;
    this.data = ShardData.empty(this.segments);
    this.segments.trimmedCounts = this.data.trimmedCounts;
    this.exists = false;
    this.role = "out";
  }

  /** Runs a task while no other one changes the replica. @example yield* state.locked(() => storage.compactIfLong()); */
  *locked<T>(body: () => Task<T>): Task<T> {
    yield* Csp.take(this.lock);
    try {
      return yield* body();
    } finally {
      Csp.offer(this.lock, true);
    }
  }

  /** Applies the entries that aren't applied yet; the outcomes of their puts. @example const outcomes = state.applyLog(); */
  applyLog(): PutOutcome[] {
    const outcomes: PutOutcome[] = [];
    for (const entry of this.log.entriesAfter(this.appliedSeq)) {
      invariant(entry.seq === this.appliedSeq + 1, "entries are applied in order, without gaps");
      ShardState.advanceClock(this.data, entry.frontier);
      for (const put of entry.puts) outcomes.push(ShardState.apply(this.data, put));
      ShardState.seal(this.data);
      this.appliedSeq = entry.seq;
      this.appliedEpoch = entry.epoch;
    }
    Csp.offer(this.segmentsPending, true);
    this.wakeReaders();
    return outcomes;
  }
  /** Advances the frontier of the stable prefix. @example state.advanceFrontier(request.frontier); */
  advanceFrontier(frontier: number): void {
    const before = this.data.frontier;
    ShardState.advanceFrontier(this.data, frontier);
    if (this.data.frontier !== before) this.wakeReaders();
  }

  /** A channel that gets a value whenever something was applied or became stable; closed by `removeReader`. */
  addReader(): Chan<true> {
    const wake = Csp.sliding<true>(1);
    this.waitingReaders.add(wake);
    return wake;
  }
  removeReader(wake: Chan<true>): void {
    this.waitingReaders.delete(wake);
  }
  private wakeReaders(): void {
    for (const reader of this.waitingReaders) Csp.offer(reader, true);
  }
}
