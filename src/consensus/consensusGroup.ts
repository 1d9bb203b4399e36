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

/** Term and log of one replica at this instant, for tools that compare replicas. */
export interface ConsensusGroupInspection {
  term: number;
  entries: readonly LogEntry[];
}

/**
 * One replica of the control group: a replicated state machine by the Raft algorithm (Ongaro and Ousterhout, "In Search of
 * an Understandable Consensus Algorithm", 2014), with pre-vote, leader lease, leadership transfer and changes of one voter
 * at a time (Ongaro, "Consensus: Bridging Theory and Practice", 2014). An entry is committed once a majority of the voters
 * has it on disk.
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

  /** Reads what this server has on disk. Fault: disk. */
  open(): Task<Result<true>> {
    return this.replica.open();
  }
  /** Starts to answer the other servers and to take part in elections. */
  start(): void {
    const { env, rpc, replica } = this;
    const votes = new VoteHandler(replica, this.election);
    const appends = new AppendEntriesHandler(replica);
    const logWriter = new LogWriter(replica, this.replication);
    rpc.handle(ConsensusMethod.preVote, (body) => votes.onPreVote(body));
    rpc.handle(ConsensusMethod.requestVote, (body) => votes.onRequestVote(body));
    rpc.handle(ConsensusMethod.appendEntries, (body) => appends.onAppendEntries(body));
    rpc.handle(ConsensusMethod.timeoutNow, (body) => votes.onTimeoutNow(body));
    // A restarted voter may have acknowledged a leader just before: it votes only once that lease has ended.
    replica.lastLeaderContactAt = env.mono();
    replica.resetRestartElectionTimer();
    EnvironmentTools.keep(env, env.scope, "election", () => this.election.run());
    EnvironmentTools.keep(env, env.scope, "log writer", () => logWriter.run());
  }

  // ---------- state ----------

  /** Whether this server belongs to a group. @example if (!group.isBootstrapped()) yield* group.bootstrap("g-1", voters); */
  isBootstrapped(): boolean {
    return this.log.isBootstrapped();
  }
  /** Id of the group, or "" before it is known. */
  groupId(): string {
    return this.replica.groupId();
  }
  /** The voters of the newest entry that sets them, committed or not. */
  voters(): string[] {
    return this.log.voters();
  }
  /** The log in memory; what it returns must not be changed. @example group.inspect().entries.length */
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
  /** Id of the leader last heard from, or "". */
  get leaderId(): string {
    return this.replica.leaderId;
  }
  /** When this server was last elected, on its monotonic clock, ms. */
  get leaderSince(): number {
    return this.replica.leaderSince;
  }
  /** How often this server asked for votes or pre-votes. */
  get electionsStarted(): number {
    return this.election.electionsStarted;
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

  /** See LeaderLease.isHeld. @example if (!group.hasLeaderLease()) return; */
  hasLeaderLease(): boolean {
    return this.lease.isHeld();
  }
  /** See LeaderLease.quorumContactAt. @example const currentAsOf = group.quorumContactAt(); */
  quorumContactAt(): number {
    return this.lease.quorumContactAt();
  }
  /** Entries that a server is behind. @example group.lag("node-4") */
  lag(id: string): number {
    return this.catchUp.lag(id);
  }
  /** Whether a standby may become a voter; see CatchUp.isCaughtUp. @example group.isCaughtUp("node-4") */
  isCaughtUp(id: string): boolean {
    return this.catchUp.isCaughtUp(id);
  }
  /** As a leader that is about to stop: lets another voter lead. @example yield* group.transferLeadership(); */
  transferLeadership(): Task<void> {
    return new LeadershipTransfer(this.replica, this.catchUp, this.lease, this.rpc).run();
  }

  // ---------- changes ----------

  /**
   * Writes the first entry of a new group, the same on each of its first voters. Faults: conflict (belongs to another
   * group), disk.
   * @example yield* group.bootstrap("g-1", ["a", "b", "c"]);
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
   * Continues from this voter alone; see SingleVoterRecovery. Faults: conflict, disk.
   * @example yield* group.recover({ group: "g", voter: "c1", by: "ann" }, views)
   */
  *recover(order: RecoveryRequest, views: ShardView[]): Task<Result<RecoveryResult>> {
    yield* Csp.take(this.log.diskLock);
    try {
      return yield* new SingleVoterRecovery(this.replica, this.lease).run(order, views);
    } finally {
      Csp.offer(this.log.diskLock, true);
    }
  }
  /**
   * Appends a command to the log and waits until it is applied here.
   *
   * Faults: notLead, with the leader's id if it is known; conflict (a change of voters that is not allowed now, or an entry
   * that another leader replaced: not applied); unknown (it may still be committed).
   *
   * @example yield* group.propose(command, 1500)
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
