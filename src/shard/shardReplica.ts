import { Constants } from "../common/constants";
import type { Result } from "../common/fault";
import type { Bounds } from "../common/stamp";
import type { ShardView } from "../controlState/shardView";
import type { ShardReplicaRole, ShardReplicaStatus } from "./messages/viewChangeMessages";
import type { Rpc } from "../rpc/rpc";
import type { Task } from "../runtime/csp";
import type { Environment } from "../runtime/env";
import { AntiEntropy } from "./replica/antiEntropy";
import { Follower } from "./replica/follower";
import { Leader } from "./replica/leader";
import { Leadership } from "./replica/leadership";
import { LogReplication } from "./replica/logReplication";
import { MemberSender } from "./replica/memberSender";
import { ReplicaReads } from "./replica/replicaReads";
import { ReplicaCounts, ReplicaState } from "./replica/replicaState";
import { ReplicaStorage } from "./replica/replicaStorage";
import { SealedLogSync } from "./replica/sealedLogSync";
import { SegmentTransfer } from "./replica/segmentTransfer";
import { StablePrefix } from "./replica/stablePrefix";
import { StateTransfer } from "./replica/stateTransfer";
import { ViewChange } from "./replica/viewChange";
import type { SegmentStore } from "./segments/segmentStore";
import type { BatchJob } from "./state/batchJob";
import type { LiveRequest } from "./state/liveRequest";
import type { Put, PutOutcome } from "./state/operations";
import type { ShardData } from "./state/shardData";

export type { ShardReplicaRole, ShardReplicaStatus };

/** Queries to and notifications of the storage node that hosts a replica. */
export interface ShardReplicaHooks {
  /** Returns the address of a member; undefined if it is unknown. */
  addressOf(id: string): string | undefined;
  /** Returns the bounds δ, ε and Δ in force. */
  bounds(): Bounds;
  /** Returns whether the skew of the node's clock is within the bounds. */
  isClockTrusted(): boolean;
  /** Reports that every member has synced a put, this many ms after it was queued. */
  putCompleted(ms: number): void;
  leadershipStarted(replica: ShardReplica): void;
  leadershipStopped(replica: ShardReplica): void;
  /** Asks the control group to check at once whether this shard needs a view change. */
  viewChangeNeeded(): void;
}

/**
 * One replica of a shard. Composes the classes in `replica/` and is their interface to other layers.
 *
 * The leader orders puts; a put completes once every member of the view has synced it. Every other member grants the
 * leader's lease. So the shard keeps serving without anyone outside the view, and sealing one member is enough to end
 * the leadership. The control group decides on views (virtual synchrony).
 *
 * @example
 * const replica = new ShardReplica(env, rpc, "node-1", 3, "data/shard-3", hooks);
 * yield* replica.open();
 * const outcome = yield* replica.put({ putId, stamp, ops, cause: {} }, 2000);
 */
export class ShardReplica {
  readonly follower: Follower;
  readonly viewChange: ViewChange;
  readonly sealedLogSync: SealedLogSync;
  readonly stateTransfer: StateTransfer;
  readonly antiEntropy: AntiEntropy;
  private readonly state: ReplicaState;
  private readonly leadership: Leadership;
  private readonly storage: ReplicaStorage;
  private readonly stablePrefix: StablePrefix;
  private readonly replication: LogReplication;
  private readonly reads: ReplicaReads;

  constructor(
    env: Environment,
    rpc: Rpc,
    selfId: string,
    readonly shard: number,
    folder: string,
    hooks: ShardReplicaHooks,
  ) {
    const state = new ReplicaState({
      env,
      rpc,
      selfId,
      shard,
      folder,
      hooks: {
        addressOf: (id) => hooks.addressOf(id),
        bounds: () => hooks.bounds(),
        isClockTrusted: () => hooks.isClockTrusted(),
        putCompleted: (ms) => hooks.putCompleted(ms),
        leadershipStarted: () => hooks.leadershipStarted(this),
        leadershipStopped: () => hooks.leadershipStopped(this),
        viewChangeNeeded: () => hooks.viewChangeNeeded(),
      },
    });
    const leadership = new Leadership(state);
    const storage = new ReplicaStorage(state, leadership);
    const stablePrefix = new StablePrefix(state, leadership);
    const sender = new MemberSender(state, leadership, stablePrefix);
    const replication = new LogReplication(state, leadership, stablePrefix, storage, sender);
    const leader = new Leader(state, leadership, stablePrefix, replication, sender);
    const segmentTransfer = new SegmentTransfer(state);
    this.state = state;
    this.leadership = leadership;
    this.storage = storage;
    this.stablePrefix = stablePrefix;
    this.replication = replication;
    this.reads = new ReplicaReads(state);
    this.follower = new Follower(state, leadership, storage);
    this.viewChange = new ViewChange(state, leadership, storage, leader);
    this.sealedLogSync = new SealedLogSync(state, leadership, storage);
    this.stateTransfer = new StateTransfer(state, leadership, storage, segmentTransfer);
    this.antiEntropy = new AntiEntropy(state, leadership, storage, segmentTransfer);
  }

  /** The view that was installed last; undefined before the first. */
  get view(): ShardView | undefined {
    return this.state.view;
  }
  get role(): ShardReplicaRole {
    return this.state.role;
  }
  /** Whether this node has a replica of the shard: a log or a snapshot on disk. */
  get exists(): boolean {
    return this.state.exists;
  }
  /** The state built from the log. State transfer replaces the whole object. */
  get data(): ShardData {
    return this.state.data;
  }
  get segments(): SegmentStore {
    return this.state.segments;
  }
  get counts(): Readonly<ReplicaCounts> {
    return this.state.counts;
  }
  /** Position of the last entry applied. */
  get appliedSeq(): number {
    return this.state.appliedSeq;
  }
  /** Epoch of the last entry applied. */
  get appliedEpoch(): number {
    return this.state.appliedEpoch;
  }
  /** Whether the disk is nearly full. New requests and jobs are then rejected. */
  set isDiskLow(isLow: boolean) {
    this.state.isDiskLow = isLow;
  }

  /** Recovers the replica from disk. Returns the fault "disk" if that fails. */
  open(): Task<Result<true>> {
    return this.storage.recover();
  }
  /** Retries a disk that failed. */
  retryDisk(): Task<void> {
    return this.storage.retryDisk();
  }
  /** Number of synced writes so far. */
  syncedWrites(): number {
    return this.state.diskLog.syncCount;
  }

  /** Whether this replica is the leader and holds an unexpired lease from every other member. */
  holdsLease(): boolean {
    return this.leadership.holdsLease();
  }
  /** Ends the leadership, if there is one. */
  stopLeader(reason: string): void {
    this.leadership.stop(reason);
  }
  /** Whether this replica has a reason to request a view change. */
  needsViewChange(): boolean {
    return this.leadership.needsViewChange();
  }
  /** See `LogReplication.put`. */
  put(put: Put, withinMs: number): Task<Result<PutOutcome>> {
    return this.replication.put(put, withinMs);
  }

  /** See `StablePrefix.frontier`. */
  frontier(): number {
    return this.stablePrefix.frontier();
  }
  /** See `ReplicaReads.job`. */
  job(id: string): Task<Result<BatchJob | undefined>> {
    return this.reads.job(id);
  }
  /** See `ReplicaReads.liveRequest`. */
  liveRequest(id: string): Task<Result<LiveRequest | undefined>> {
    return this.reads.liveRequest(id);
  }
  /** See `ReplicaReads.readConsistently`. */
  readConsistently<T>(read: () => Task<Result<T>>): Task<Result<T>> {
    return this.reads.readConsistently(read);
  }
  /** See `ReplicaReads.waitForChange`. */
  waitForChange(ms: number): Task<void> {
    return this.reads.waitForChange(ms);
  }

  /** See `AntiEntropy.scrub`. */
  scrub(turn: number): Task<void> {
    return this.antiEntropy.scrub(turn);
  }
  /** See `AntiEntropy.repair`. */
  repair(): Task<number> {
    return this.antiEntropy.repair();
  }

  /** The status that this replica reports to the control group. */
  status(): ShardReplicaStatus {
    const { state, leadership, shard } = this;
    const { data, log } = state;
    const { works, lots } = Constants.segmentObjects;
    return {
      shard,
      epoch: state.epoch,
      view: state.view ?? null,
      sealed: state.sealedEpoch,
      role: state.role,
      seq: log.lastSeq,
      lastEpoch: log.lastEpoch,
      failing: leadership.silentMembers(),
      leadSilentMs: Math.round(leadership.leaderSilenceMs()),
      wantsView: state.viewChangeReason,
      broken: this.storage.isBroken,
      frontier: data.frontier,
      lots: data.jobs.size + data.segmentCounts.lots * lots,
      works: data.liveRequests.size + data.segmentCounts.works * works,
    };
  }
}
