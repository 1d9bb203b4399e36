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

/** What a replica asks of its storage node, and tells it. */
export interface ShardReplicaHooks {
  /** Address of a member; undefined if unknown. */
  addressOf(id: string): string | undefined;
  /** The bounds δ, ε and Δ in force. */
  bounds(): Bounds;
  /** Whether the node's clock is inside the bounds. */
  isClockTrusted(): boolean;
  /** A put is on every member, so long after it was queued, ms. */
  putCompleted(ms: number): void;
  leadershipStarted(replica: ShardReplica): void;
  leadershipStopped(replica: ShardReplica): void;
  /** Control should look at this shard now. */
  viewChangeNeeded(): void;
}

/**
 * One replica of a shard: composes the parts of `replica/`, and is what other layers see of them.
 *
 * The leader orders puts; a put completes once every member of the view has synced it. The leader's lease comes from
 * every other member, so that nobody outside the view is needed to keep serving, and one sealed member is enough to end
 * it. Views are decided by control (virtual synchrony).
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

  /** The last view that was installed; undefined before the first. */
  get view(): ShardView | undefined {
    return this.state.view;
  }
  get role(): ShardReplicaRole {
    return this.state.role;
  }
  /** Whether there is a replica of the shard here: a log or a snapshot on disk. */
  get exists(): boolean {
    return this.state.exists;
  }
  /** The state that the log gives; replaced as a whole by state transfer. */
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
  /** Whether the disk is nearly full: nothing new is accepted. */
  set isDiskLow(isLow: boolean) {
    this.state.isDiskLow = isLow;
  }

  /** Reads what is on disk. Gives the fault "disk" where that fails. @example yield* replica.open() */
  open(): Task<Result<true>> {
    return this.storage.recover();
  }
  /** Tries a disk that failed. @example yield* replica.retryDisk(); */
  retryDisk(): Task<void> {
    return this.storage.retryDisk();
  }
  /** Synced writes so far. @example replica.syncedWrites() */
  syncedWrites(): number {
    return this.state.diskLog.syncCount;
  }

  /** Whether this replica leads right now. @example if (!replica.holdsLease()) return notLead; */
  holdsLease(): boolean {
    return this.leadership.holdsLease();
  }
  /** Ends the leadership, if there is one. @example replica.stopLeader("frozen"); */
  stopLeader(reason: string): void {
    this.leadership.stop(reason);
  }
  /** Whether a view change seems to be called for. @example if (replica.needsViewChange()) callControl(); */
  needsViewChange(): boolean {
    return this.leadership.needsViewChange();
  }
  /** Puts through the leader, see `LogReplication.put`. @example const outcome = yield* replica.put(put, 1000); */
  put(put: Put, withinMs: number): Task<Result<PutOutcome>> {
    return this.replication.put(put, withinMs);
  }

  /** How far temporal reads may go on this replica: wall time, ms. @example const upTo = replica.frontier(); */
  frontier(): number {
    return this.stablePrefix.frontier();
  }
  /** See `ReplicaReads.job`. @example const job = yield* replica.job("lot-17"); */
  job(id: string): Task<Result<BatchJob | undefined>> {
    return this.reads.job(id);
  }
  /** See `ReplicaReads.liveRequest`. @example const request = yield* replica.liveRequest("req-1"); */
  liveRequest(id: string): Task<Result<LiveRequest | undefined>> {
    return this.reads.liveRequest(id);
  }
  /** See `ReplicaReads.readConsistently`. @example yield* replica.readConsistently(() => replica.segments.ledger.after(stamp, 100)) */
  readConsistently<T>(read: () => Task<Result<T>>): Task<Result<T>> {
    return this.reads.readConsistently(read);
  }
  /** See `ReplicaReads.waitForChange`. @example yield* replica.waitForChange(800); */
  waitForChange(ms: number): Task<void> {
    return this.reads.waitForChange(ms);
  }

  /** Checks one segment file. @example yield* replica.scrub(7); */
  scrub(turn: number): Task<void> {
    return this.antiEntropy.scrub(turn);
  }
  /** At the leader: repairs other members. @example yield* replica.repair(); */
  repair(): Task<number> {
    return this.antiEntropy.repair();
  }

  /** What control sees of this replica. @example replica.status().role */
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
