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

/** What a consensus group needs to know of the cluster around it. */
export interface ConsensusGroupHooks {
  /** Address of a server by its id; undefined if none is known. */
  addressOf(id: string): string | undefined;
  /** Ids of all other control nodes now alive, voters and standbys. */
  otherNodes(): string[];
  /** Called when the state machine has applied entries up to an index, or was replaced by a snapshot. */
  onApplied(state: ControlState, index: number): void;
}

/** A proposal that waits for its entry to be applied. */
export interface PendingProposal {
  /** Term in which it was appended: an entry of another term at its index is another proposal. */
  term: number;
  outcome: Chan<Result<Outcome>>;
}

/** The first election after a start is due after a random share of `restartElectionMs` between these two. */
const RESTART_ELECTION_SHARE_MIN = 0.2;
const RESTART_ELECTION_SHARE_SPREAD = 1.6;

/**
 * One replica of the group: its role, its state machine and its timers, shared by election, replication and the handling
 * of requests (Raft, figure 2: state).
 *
 * @example
 * const replica = new ConsensusReplica(env, "node-1", new ReplicatedLog(store), hooks);
 */
export class ConsensusReplica {
  /** Highest index known to be committed. Never falls. */
  commitIndex = 0;
  /** Index of the last entry applied to the state machine. */
  lastApplied = 0;
  /** The state machine. */
  state = ControlState.empty();
  role: RaftRole = "follower";
  /** Id of the leader last heard from, or "". */
  leaderId = "";
  /** When this server was last elected, on its monotonic clock, ms. */
  leaderSince = 0;
  /** When a leader's append last arrived here, on the monotonic clock, ms. */
  lastLeaderContactAt: number;
  /** As leader: what is known of the followers, by id. */
  readonly followers = new Map<string, FollowerProgress>();
  /** As leader: proposals that wait for their entry, by its index. */
  readonly pendingProposals = new Map<number, PendingProposal>();
  /** When the next election is due, on the monotonic clock, ms. */
  electionDueAt = 0;
  /** True until a leader's append arrives or this server is elected: its own start is all that delays its votes. */
  startedRecently = true;
  /** When a rejection was last logged, by reason. */
  private readonly rejectionLoggedAt = new Map<string, number>();

  constructor(
    readonly env: Environment,
    readonly selfId: string,
    readonly log: ReplicatedLog,
    readonly hooks: ConsensusGroupHooks,
  ) {
    this.lastLeaderContactAt = env.mono();
  }

  /** Reads the disk. What is committed past the snapshot becomes known from a leader. Fault: disk. */
  *open(): Task<Result<true>> {
    const opened = yield* this.log.open();
    if (!opened.ok) return opened;
    this.state = structuredClone(this.log.snapshotState);
    this.commitIndex = this.lastApplied = this.log.snapshotIndex;
    return opened;
  }
  /** Id of the group, or "" before it is known. */
  groupId(): string {
    if (this.state.group) return this.state.group;
    for (const { command } of this.log.entries) {
      const groupId = groupBootstrappedBy(command);
      if (groupId !== undefined) return groupId;
    }
    return "";
  }
  /** Replaces log and state machine by a snapshot, on disk first. Fault: disk. */
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

  /** How many of the newest voters are a majority. */
  majority(): number {
    return Math.floor(this.log.voters().length / 2) + 1;
  }
  /** Whether this server is one of the newest voters. A leader whose removal is uncommitted is not. */
  isVoter(): boolean {
    return this.log.voters().includes(this.selfId);
  }
  /** Whether this server leads in a term. */
  isLeaderOf(term: number): boolean {
    return this.role === "leader" && this.log.currentTerm === term;
  }
  /**
   * Whether this server leads, is a voter, and has applied an entry of its own term, and with it all that earlier leaders
   * committed (Raft, section 8).
   */
  hasAppliedOwnTerm(): boolean {
    return this.role === "leader" && this.isVoter() && this.log.termAt(this.lastApplied) === this.log.currentTerm;
  }
  /** Becomes a follower without a change of term. Entries that were proposed here and are uncommitted may still be committed. */
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
   * Becomes a follower and adopts the term, if it is higher than the current one.
   *
   * @param hasDiskLock whether the caller holds the log's disk lock
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

  /** Sets the election timer anew, at random so that two servers seldom stand at once (Raft, section 5.2). */
  resetElectionTimer(minMs: number = Constants.electionTimeoutMinMs): void {
    this.electionDueAt = this.env.mono() + minMs + this.env.random() * Constants.electionTimeoutSpreadMs;
  }
  /** Sets the timer of the election after a restart of all voters: much sooner, as no lease has to be waited for. */
  resetRestartElectionTimer(): void {
    const share = RESTART_ELECTION_SHARE_MIN + RESTART_ELECTION_SHARE_SPREAD * this.env.random();
    this.electionDueAt = this.env.mono() + Constants.restartElectionMs * share;
  }
  /** Whether no leader has been in contact for the shortest election time-out: a leader's lease has ended by then. */
  hasLeaderTimedOut(): boolean {
    return this.role !== "leader" && this.env.mono() - this.lastLeaderContactAt >= Constants.electionTimeoutMinMs;
  }

  // ---------- state machine ----------

  /** Applies committed entries in order, and completes the proposals that wait for them. */
  applyCommitted(): void {
    while (this.lastApplied < this.commitIndex) {
      const entry = this.log.entryAt(this.lastApplied + 1);
      invariant(entry?.index === this.lastApplied + 1, "entries are applied one after the other, none left out");
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
   * Refuses a request that is meant for another server: a server with an emptied disk has a new id at the old address, and
   * must not answer for a log and votes that it no longer has.
   */
  rejectMisdirected(targetId: string, step: string): Result<never> | undefined {
    if (targetId === this.selfId) return undefined;
    return Fault.fail("refused", step, this.selfId, `meant for ${targetId}, which is no longer here`);
  }
  /**
   * Rejects a message that is malformed, of another group or in conflict with committed entries. Each reason is logged at
   * most once in `rejectionLogPeriodMs`.
   */
  reject(
    event: typeof ConsensusEvent.committedEntryConflict | typeof ConsensusEvent.messageRejected,
    step: string,
    senderId: unknown,
    reason: string,
  ): Result<never> {
    const now = this.env.mono();
    if (now - (this.rejectionLoggedAt.get(reason) ?? -Infinity) >= Constants.rejectionLogPeriodMs) {
      this.rejectionLoggedAt.set(reason, now);
      this.env.log(event, { step, from: senderId, cause: reason });
    }
    return Fault.fail("invalid", step, this.selfId, reason);
  }
}
