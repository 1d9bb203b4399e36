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

/** Queries to and notifications of the storage node that hosts a replica. */
export interface ReplicaHooks {
  /** Returns the address of a member; undefined if it is unknown. */
  addressOf(id: string): string | undefined;
  /** Returns the bounds δ, ε and Δ in force. */
  bounds(): Bounds;
  /** Returns whether the skew of the node's clock is within the bounds. */
  isClockTrusted(): boolean;
  /** Reports that every member has synced a put, this many ms after it was queued. */
  putCompleted(ms: number): void;
  leadershipStarted(): void;
  leadershipStopped(): void;
  /** Asks the control group to check at once whether this shard needs a view change. */
  viewChangeNeeded(): void;
}

/** Environment and identity of a replica. */
export interface ReplicaContext {
  readonly env: Environment;
  readonly rpc: Rpc;
  /** Id of the replica's node. */
  readonly selfId: string;
  readonly shard: number;
  /** Folder of the replica's files. */
  readonly folder: string;
  readonly hooks: ReplicaHooks;
}

/** Counters for the metrics, since the start of the process. */
export interface ReplicaCounts {
  puts: number;
  batches: number;
  /** Puts rejected because the frontier had passed their stamp. */
  latePuts: number;
  /** Puts that took longer than the bounds allow. */
  overrunPuts: number;
  /** Objects and segments repaired from another replica. */
  repaired: number;
  /** Bytes of segments copied from another replica. */
  transferredBytes: number;
}

/** Greatest number of members of a view; capacity of the channels that collect their responses. */
export const MEMBERS_MAX = 16;
/** Format of a shard's snapshots and logs on disk. */
const DISK_FORMAT = 2;

/**
 * State that the classes of a replica share: its view, its log, the state built from the log, and the lock under which
 * these are changed and written.
 */
export class ReplicaState {
  /** The view that was installed last; undefined before the first. */
  view: ShardView | undefined;
  /** Epochs below this one are sealed: their entries are rejected. */
  sealedEpoch = 0;
  /** Epoch for which this process sealed the log; 0 for none. A seal by an earlier process doesn't allow it to lead. */
  sealedEpochOfProcess = 0;
  readonly log = new ShardLog();
  /** Position of the last entry applied. */
  appliedSeq = 0;
  /** Epoch of the last entry applied. */
  appliedEpoch = 0;
  data: ShardData;
  readonly segments: SegmentStore;
  role: ShardReplicaRole = "out";
  /** Whether this node has a replica of the shard: a log or a snapshot on disk. */
  exists = false;
  /** Why a view change is needed; empty if it isn't. */
  viewChangeReason = "";
  /** End of the lease granted to the leader, monotonic ms. Initially assumes a lease granted just before a restart. */
  grantedLeaseEnd: number;
  /** Whether the disk is nearly full. New requests and jobs are then rejected. */
  isDiskLow = false;
  diskLog: CheckpointedLog;
  /** Signals that there may be pending segments to write. */
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
  /** The other members of the view. */
  otherMembers(): string[] {
    return (this.view?.members ?? []).filter((id) => id !== this.context.selfId);
  }
  /** Creates the snapshots and log on disk, not yet opened. */
  newDiskLog(): CheckpointedLog {
    return new CheckpointedLog(this.context.env, this.context.folder, DISK_FORMAT);
  }

  /** Clears everything but the sealed epoch, before the replica is read from disk again. */
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

  /** Runs a task under the lock of the replica. */
  *withLock<T>(body: () => Task<T>): Task<T> {
    yield* Csp.take(this.lock);
    try {
      return yield* body();
    } finally {
      Csp.offer(this.lock, true);
    }
  }

  /** Applies the entries that aren't applied yet. Returns the outcomes of their puts. */
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
  /** Advances the frontier of the stable prefix. */
  advanceFrontier(frontier: number): void {
    const before = this.data.frontier;
    ShardState.advanceFrontier(this.data, frontier);
    if (this.data.frontier !== before) this.wakeReaders();
  }

  /** Returns a channel that is signalled after entries are applied or the frontier advances, until `removeReader`. */
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
