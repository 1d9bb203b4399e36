import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Command, Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ShardView } from "../controlState/shardView";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { CheckpointedLog } from "../runtime/checkpointedLog";
import { AppendEntriesHandler } from "./appendEntriesHandler";
import { CatchUp } from "./catchUp";
import { ConsensusGroupHooks, ConsensusReplica } from "./consensusReplica";
import { DiskRecovery } from "./diskRecovery";
import { Election } from "./election";
import { LeaderLease } from "./leaderLease";
import { LeadershipTransfer } from "./leadershipTransfer";
import { LogStore } from "./logStore";
import { LogWriter } from "./logWriter";
import { MembershipChange } from "./membershipChange";
import { LogEntry } from "./messages";
import { ReplicatedLog } from "./replicatedLog";
import { Replication } from "./replication";
import { RaftRole } from "./role";
import { RecoveryResult, RecoveryRequest, SingleVoterRecovery } from "./singleVoterRecovery";
import { VoteHandler } from "./voteHandler";
import { ConsensusMethod } from "./wireMessages";

/** Current term and in-memory log of one replica, for tools that compare replicas. */
export interface ConsensusGroupInspection {
  term: number;
  entries: readonly LogEntry[];
}

/**
 * One replica of the control group, a state machine replicated with the Raft algorithm (Ongaro and Ousterhout, "In
 * Search of an Understandable Consensus Algorithm", 2014). It supports pre-vote, leader lease, leadership transfer and
 * single-server membership changes (Ongaro, "Consensus: Bridging Theory and Practice", 2014). An entry is committed
 * once a majority of the voters has it on disk.
 *
 * @example
 * const group = new ConsensusGroup(env, rpc, "node-1", new CheckpointedLog(env, "data/control"), hooks);
 * yield* group.open();
 * group.start();
 * const outcome = yield* group.propose({ tag: "noop" }, 1500);
 */
export class ConsensusGroup {
  private readonly log: ReplicatedLog;
  private readonly replica: ConsensusReplica;
  private readonly replication: Replication;
  private readonly lease: LeaderLease;
  private readonly catchUp: CatchUp;
  private readonly election: Election;

  constructor(
    private readonly env: Environment,
    private readonly rpc: Rpc,
    private readonly selfId: string,
    storage: CheckpointedLog,
    hooks: ConsensusGroupHooks,
  ) {
    this.log = new ReplicatedLog(new LogStore(storage));
    this.replica = new ConsensusReplica(env, selfId, this.log, hooks);
    this.replication = new Replication(this.replica, rpc);
    this.lease = new LeaderLease(this.replica);
    this.catchUp = new CatchUp(this.replica);
    this.election = new Election(this.replica, this.replication, this.lease, rpc);
  }

  /** Loads the persistent state from disk. Fault: disk. */
  open(): Task<Result<true>> {
    return this.replica.open();
  }
  /** Starts to handle requests from the other servers and to take part in elections. */
  start(): void {
    const { env, rpc, replica } = this;
    const votes = new VoteHandler(replica, this.election);
    const appends = new AppendEntriesHandler(replica);
    const logWriter = new LogWriter(replica, this.replication);
    const diskRecovery = new DiskRecovery(replica);
    rpc.handle(ConsensusMethod.preVote, (body) => votes.onPreVote(body));
    rpc.handle(ConsensusMethod.requestVote, (body) => votes.onRequestVote(body));
    rpc.handle(ConsensusMethod.appendEntries, (body) => appends.onAppendEntries(body));
    rpc.handle(ConsensusMethod.timeoutNow, (body) => votes.onTimeoutNow(body));
    // A restarted voter may have acknowledged a leader shortly before it stopped, so it votes only after that lease has
    // expired.
    replica.lastLeaderContactAt = env.monotonicMs();
    replica.resetRestartElectionTimer();
    EnvironmentTools.runSupervised(env, env.scope, "election", () => this.election.run());
    EnvironmentTools.runSupervised(env, env.scope, "log writer", () => logWriter.run());
    EnvironmentTools.runSupervised(env, env.scope, "disk recovery", () => diskRecovery.run());
  }

  // ---------- state ----------

  /** Whether this server belongs to a group. */
  isBootstrapped(): boolean {
    return this.log.isBootstrapped();
  }
  /** Id of the group; "" if it is not known yet. */
  groupId(): string {
    return this.replica.groupId();
  }
  /** The voters set by the newest membership entry in the log, committed or not. */
  voters(): string[] {
    return this.log.voters();
  }
  /** Returns the current term and the entries in memory. The caller must not modify the entries. */
  inspect(): ConsensusGroupInspection {
    return { term: this.log.currentTerm, entries: this.log.entries };
  }
  /** Index of the newest entry known to be committed. */
  get commitIndex(): number {
    return this.replica.commitIndex;
  }
  /** Index of the newest entry applied to the state machine. */
  get lastApplied(): number {
    return this.replica.lastApplied;
  }
  /** The state machine. */
  get state(): ControlState {
    return this.replica.state;
  }
  /** This server's role in the current term. */
  get role(): RaftRole {
    return this.replica.role;
  }
  /** Id of the last known leader; "" if none is known. */
  get leaderId(): string {
    return this.replica.leaderId;
  }
  /** Time of this server's last election as leader, on its monotonic clock, in ms. */
  get leaderSince(): number {
    return this.replica.leaderSince;
  }
  /** Number of elections, pre-votes included, that this server has started. */
  get electionsStarted(): number {
    return this.election.electionsStarted;
  }
  /** Whether a write to this server's disk has failed, so that for now it can neither vote nor acknowledge entries. */
  hasDiskFailed(): boolean {
    return this.log.hasDiskFailed();
  }
  /** Index of the last entry that the snapshot covers. */
  get snapshotIndex(): number {
    return this.log.snapshotIndex;
  }
  /** Index of the newest entry, committed or not. */
  lastLogIndex(): number {
    return this.log.lastIndex();
  }

  // ---------- leadership ----------

  /** See LeaderLease.isHeld. */
  hasLeaderLease(): boolean {
    return this.lease.isHeld();
  }
  /** See LeaderLease.quorumContactAt. */
  quorumContactAt(): number {
    return this.lease.quorumContactAt();
  }
  /** Returns the voters that can write, as known to the leader: itself, and those that acknowledged it recently. */
  writableVoters(): string[] {
    return this.lease.votersInContactWithin(Constants.electionTimeoutMinMs);
  }
  /** Time for which a server has reported to this leader that its disk failed, in ms; 0 if it has not. */
  diskFailedMs(id: string): number {
    const failedAt = this.replica.followers.get(id)?.diskFailedAt ?? Infinity;
    return Math.max(0, this.env.monotonicMs() - failedAt);
  }
  /** Number of voters that must be able to write, so that entries are committed. */
  majority(): number {
    return this.replica.majority();
  }
  /** Number of entries by which a server lags behind, as known to the leader. */
  lag(id: string): number {
    return this.catchUp.lag(id);
  }
  /** Whether a standby may become a voter; see CatchUp.isCaughtUp. */
  isCaughtUp(id: string): boolean {
    return this.catchUp.isCaughtUp(id);
  }
  /** Transfers the leadership to another voter before this server stops. */
  transferLeadership(): Task<void> {
    return new LeadershipTransfer(this.replica, this.catchUp, this.lease, this.rpc).run();
  }

  // ---------- changes ----------

  /**
   * Writes the first entry of a new group, which is the same on each of its initial voters. Faults: conflict (this
   * server belongs to another group), disk.
   */
  *bootstrap(groupId: string, voters: string[]): Task<Result<true>> {
    yield* Csp.take(this.log.diskLock);
    try {
      if (!this.log.isBootstrapped()) return yield* this.log.bootstrap(groupId, voters);
      if (this.replica.groupId() === groupId) return Fault.ok(true as const);
      return Fault.fail("conflict", "found", this.selfId, "already in a group");
    } finally {
      Csp.offer(this.log.diskLock, true);
    }
  }
  /**
   * Recovers the group from this voter alone; see SingleVoterRecovery. Faults: conflict, disk.
   */
  *recover(request: RecoveryRequest, views: ShardView[]): Task<Result<RecoveryResult>> {
    yield* Csp.take(this.log.diskLock);
    try {
      return yield* new SingleVoterRecovery(this.replica, this.lease).run(request, views);
    } finally {
      Csp.offer(this.log.diskLock, true);
    }
  }
  /**
   * Appends a command to the log and waits until this server has applied it.
   *
   * Faults: notLead, with the id of the leader if it is known; conflict (a membership change that is not allowed now,
   * or an entry that another leader replaced: the command was not applied); unknown (the command may still be
   * committed).
   */
  *propose(command: Command, timeoutMs: number): Task<Result<Outcome>> {
    const { replica } = this;
    if (!this.hasLeaderLease()) {
      const otherLeader = replica.role === "leader" ? "" : replica.leaderId;
      return Fault.fail("notLead", "propose", this.selfId, otherLeader);
    }
    const rejectionReason = MembershipChange.rejectionReason(command, this.log, replica.commitIndex);
    if (rejectionReason !== undefined) return Fault.fail("conflict", "propose", this.selfId, rejectionReason);
    const entry = this.replication.append(command);
    const outcome = Csp.chan<Result<Outcome>>(1);
    replica.pendingProposals.set(entry.index, { term: entry.term, outcome });
    const result = yield* EnvironmentTools.takeWithin(this.env, outcome, timeoutMs);
    replica.pendingProposals.delete(entry.index);
    return result ?? Fault.fail("unknown", "propose", this.selfId, "no majority answered in time");
  }
}
