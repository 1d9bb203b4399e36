import invariant from "tiny-invariant";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ControlStateMachine } from "../controlState/controlStateMachine";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { ConsensusEvent } from "./consensusEvents";
import { FollowerProgress } from "./followerProgress";
import { groupBootstrappedBy } from "./membershipCommand";
import { ReplicatedLog } from "./replicatedLog";
import { RaftRole } from "./role";
import { PersistentState } from "./storageCodec";

/** Connects a consensus group to the rest of its process. */
export interface ConsensusGroupHooks {
  /** Returns the address of a server by its id; undefined if none is known. */
  addressOf(id: string): string | undefined;
  /** Returns the ids of all other control nodes that are alive, voters and standbys. */
  otherNodes(): string[];
  /** Is called after the state machine has applied entries up to an index or has been replaced by a snapshot. */
  onApplied(state: ControlState, index: number): void;
}

/** A proposal whose entry has not been applied yet. */
export interface PendingProposal {
  /** Term in which the entry was appended. An entry with another term at the same index belongs to another proposal. */
  term: number;
  outcome: Chan<Result<Outcome>>;
}

/**
 * The first election after a start is due after `restartElectionMs` times a random factor: the minimum plus up to the
 * spread.
 */
const RESTART_ELECTION_FACTOR_MIN = 0.2;
const RESTART_ELECTION_FACTOR_SPREAD = 1.6;

/**
 * The state of one replica: its role, state machine and timers. Election, replication and the request handlers share it
 * (Raft, figure 2: state).
 */
export class ConsensusReplica {
  /** Highest index known to be committed. It never decreases. */
  commitIndex = 0;
  /** Index of the last entry applied to the state machine. */
  lastApplied = 0;
  /** State of the replicated state machine after the entry `lastApplied`. */
  state = ControlState.empty();
  role: RaftRole = "follower";
  /** Id of the last known leader; "" if none is known. */
  leaderId = "";
  /** Time of this server's last election as leader, on its monotonic clock, in ms. */
  leaderSince = 0;
  /** Time of the last AppendEntries request from a leader, on the monotonic clock, in ms. */
  lastLeaderContactAt: number;
  /** On a leader: the replication progress of each follower, by id. */
  readonly followers = new Map<string, FollowerProgress>();
  /** On a leader: proposals whose entries have not been applied yet, by index. */
  readonly pendingProposals = new Map<number, PendingProposal>();
  /** Time at which the next election is due, on the monotonic clock, in ms. */
  electionDueAt = 0;
  /**
   * True from the start of the process until the first AppendEntries request from a leader, or until this server is
   * elected. Until then, no known lease but only the recent start delays this server's votes.
   */
  startedRecently = true;
  /** Time of the last log line for each reason of rejection, on the monotonic clock, in ms. */
  private readonly rejectionLoggedAt = new Map<string, number>();

  constructor(
    readonly env: Environment,
    readonly selfId: string,
    readonly log: ReplicatedLog,
    readonly hooks: ConsensusGroupHooks,
  ) {
    this.lastLeaderContactAt = env.monotonicMs();
  }

  /** Loads the persistent state. Only a leader can tell which entries after the snapshot are committed. Fault: disk. */
  *open(): Task<Result<true>> {
    const opened = yield* this.log.open();
    if (!opened.ok) return opened;
    this.state = structuredClone(this.log.snapshotState);
    this.commitIndex = this.lastApplied = this.log.snapshotIndex;
    return opened;
  }
  /** Id of the group; "" if it is not known yet. */
  groupId(): string {
    if (this.state.group) return this.state.group;
    for (const { command } of this.log.entries) {
      const groupId = groupBootstrappedBy(command);
      if (groupId !== undefined) return groupId;
    }
    return "";
  }
  /** Replaces the log and the state machine with a snapshot, first on disk and then in memory. Fault: disk. */
  *installSnapshot(snapshot: PersistentState): Task<Result<true>> {
    const installed = yield* this.log.installSnapshot(snapshot);
    if (!installed.ok) return installed;
    this.state = structuredClone(snapshot.snapshotState);
    this.lastApplied = this.commitIndex = snapshot.snapshotIndex;
    this.role = "follower";
    this.hooks.onApplied(this.state, this.lastApplied);
    return installed;
  }

  // ---------- quorum and leadership ----------

  /** Number of voters that form a majority of the newest membership in the log. */
  majority(): number {
    return Math.floor(this.log.voters().length / 2) + 1;
  }
  /**
   * Whether the newest membership in the log includes this server. It excludes a leader that has appended its own
   * removal, even before that is committed.
   */
  isVoter(): boolean {
    return this.log.voters().includes(this.selfId);
  }
  /** Whether this server is the leader of the given term. */
  isLeaderOf(term: number): boolean {
    return this.role === "leader" && this.log.currentTerm === term;
  }
  /**
   * Whether this server is a leader and a voter that has applied an entry of its own term. It has then also applied all
   * entries committed by earlier leaders (Raft, section 8).
   */
  hasAppliedOwnTerm(): boolean {
    return this.role === "leader" && this.isVoter() && this.log.termAt(this.lastApplied) === this.log.currentTerm;
  }
  /**
   * Becomes a follower without changing the term. Uncommitted entries that were proposed here may still be committed by
   * another leader.
   */
  becomeFollower(): void {
    if (this.role === "leader") {
      this.env.log(ConsensusEvent.steppedDown, { term: this.log.currentTerm });
      const fault = Fault.fail("unknown", "propose", this.selfId, "lead changed before the entry was committed");
      for (const proposal of this.pendingProposals.values()) Csp.offer(proposal.outcome, fault);
      this.pendingProposals.clear();
    }
    this.role = "follower";
    this.followers.clear();
  }
  /**
   * Becomes a follower and adopts the given term if it is higher than the current one.
   *
   * @param hasDiskLock whether the caller holds the disk lock of the log
   * @returns false if the term could not be saved
   */
  *stepDown(term: number, hasDiskLock: boolean): Task<boolean> {
    this.becomeFollower();
    if (term <= this.log.currentTerm) return true;
    if (!hasDiskLock) yield* Csp.take(this.log.diskLock);
    try {
      if (term <= this.log.currentTerm) return true;
      return (yield* this.log.saveTermAndVote(term, "")).ok;
    } finally {
      if (!hasDiskLock) Csp.offer(this.log.diskLock, true);
    }
  }

  // ---------- timers ----------

  /**
   * Resets the election timer to a random time-out, so that two servers rarely start an election at once (Raft, section
   * 5.2).
   */
  resetElectionTimer(minMs: number = Constants.electionTimeoutMinMs): void {
    this.electionDueAt = this.env.monotonicMs() + minMs + this.env.random() * Constants.electionTimeoutSpreadMs;
  }
  /**
   * Sets the timer for an election after a restart of all voters. It is much shorter, because no lease has to expire
   * first.
   */
  resetRestartElectionTimer(): void {
    const factor = RESTART_ELECTION_FACTOR_MIN + RESTART_ELECTION_FACTOR_SPREAD * this.env.random();
    this.electionDueAt = this.env.monotonicMs() + Constants.restartElectionMs * factor;
  }
  /**
   * Whether no leader has contacted this server for the minimum election time-out. A leader's lease has expired by
   * then.
   */
  hasLeaderTimedOut(): boolean {
    return (
      this.role !== "leader" && this.env.monotonicMs() - this.lastLeaderContactAt >= Constants.electionTimeoutMinMs
    );
  }

  // ---------- state machine ----------

  /** Applies committed entries in order and completes their pending proposals. */
  applyCommitted(): void {
    while (this.lastApplied < this.commitIndex) {
      const entry = this.log.entryAt(this.lastApplied + 1);
      invariant(entry?.index === this.lastApplied + 1, "entries must be applied one after the other without gaps");
      const outcome = ControlStateMachine.apply(this.state, entry.index, entry.command);
      this.lastApplied = entry.index;
      this.completeProposal(entry.index, entry.term, outcome);
    }
    this.hooks.onApplied(this.state, this.lastApplied);
  }
  private completeProposal(index: number, term: number, outcome: Outcome): void {
    const proposal = this.pendingProposals.get(index);
    this.pendingProposals.delete(index);
    if (!proposal) return;
    const result: Result<Outcome> =
      proposal.term === term ? Fault.ok(outcome) : Fault.fail("conflict", "propose", this.selfId, "entry was replaced");
    Csp.offer(proposal.outcome, result);
  }

  // ---------- rejections ----------

  /**
   * Rejects a request that is addressed to another server. A server whose disk was wiped has a new id at the old
   * address, and must not answer for a log and votes that it no longer has.
   */
  rejectMisdirected(targetId: string, step: string): Result<never> | undefined {
    if (targetId === this.selfId) return undefined;
    return Fault.fail("refused", step, this.selfId, `meant for ${targetId}, which is no longer here`);
  }
  /**
   * Rejects a message that is malformed, belongs to another group or conflicts with committed entries. Each reason is
   * logged at most once per `rejectionLogPeriodMs`.
   */
  reject(
    event: typeof ConsensusEvent.committedEntryConflict | typeof ConsensusEvent.messageRejected,
    step: string,
    senderId: unknown,
    reason: string,
  ): Result<never> {
    const now = this.env.monotonicMs();
    if (now - (this.rejectionLoggedAt.get(reason) ?? -Infinity) >= Constants.rejectionLogPeriodMs) {
      this.rejectionLoggedAt.set(reason, now);
      this.env.log(event, { step, from: senderId, cause: reason });
    }
    return Fault.fail("invalid", step, this.selfId, reason);
  }
}
