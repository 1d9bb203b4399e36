import { Constants } from "../common/constants";
import { Rpc } from "../rpc/rpc";
import { Csp, Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import { ConsensusEvent, ConsensusFaultPoint } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";
import { LeaderLease } from "./leaderLease";
import { MessageCodec } from "./messageCodec";
import { RequestVoteRequest } from "./messages";
import { Replication } from "./replication";
import { ConsensusMethod } from "./wireMessages";

/** Pause between two checks of the election timer, ms: shortly after a start, and before the group is bootstrapped. */
const CHECK_AFTER_START_MS = 10;
const CHECK_BEFORE_BOOTSTRAP_MS = 60;
/** The shortest pause between two checks of a running timer, ms. */
const MIN_CHECK_MS = 20;
/** A vote not received so long after its request counts as refused, ms. */
const VOTE_TIMEOUT_MS = 300;
/** A leader without contact to a majority for so many shortest election time-outs steps down. */
const MAJORITY_LOST_TIMEOUTS = 2;

type VoteMethod = typeof ConsensusMethod.preVote | typeof ConsensusMethod.requestVote;

/**
 * The candidate's side of leader election (Raft, section 5.2), with pre-votes (Ongaro's thesis, section 9.6): a server
 * that would not win doesn't disturb the others by a higher term.
 *
 * @example
 * const election = new Election(replica, replication, lease, rpc);
 * EnvironmentTools.keep(env, env.scope, "election", () => election.run());
 */
export class Election {
  /** How often this server asked for votes or pre-votes. */
  electionsStarted = 0;
  /** The last term whose leader transferred its leadership to this server. */
  private transferredTerm = -1;

  constructor(
    private readonly replica: ConsensusReplica,
    private readonly replication: Replication,
    private readonly lease: LeaderLease,
    private readonly rpc: Rpc,
  ) {}

  /** Stands for election when the timer has run out; as leader, steps down without a majority. Runs until its scope ends. */
  *run(): Task<void> {
    const { replica } = this;
    for (;;) {
      yield* EnvironmentTools.sleep(replica.env, this.msUntilNextCheck());
      if (replica.role === "leader") yield* this.stepDownWithoutMajority();
      else if (this.isElectionDue()) yield* this.startElection();
    }
  }
  /** A follower has nothing to do before its next election would be due: every heartbeat puts that off. */
  private msUntilNextCheck(): number {
    const { replica } = this;
    if (replica.startedRecently) return CHECK_AFTER_START_MS;
    if (replica.role === "leader") return Constants.heartbeatMs;
    if (!replica.log.isBootstrapped()) return CHECK_BEFORE_BOOTSTRAP_MS;
    const untilDue = replica.electionDueAt - replica.env.mono();
    return Math.min(Constants.electionCheckMaxMs, Math.max(MIN_CHECK_MS, untilDue));
  }
  private *stepDownWithoutMajority(): Task<void> {
    const { replica } = this;
    const windowMs = MAJORITY_LOST_TIMEOUTS * Constants.electionTimeoutMinMs;
    const inContact = this.lease.votersInContactWithin(windowMs);
    if (inContact.length >= replica.majority()) return;
    if (replica.env.mono() - replica.leaderSince <= windowMs) return;
    replica.env.log(ConsensusEvent.majorityLost, { heard: inContact });
    replica.leaderId = "";
    yield* replica.stepDown(replica.log.currentTerm, false);
  }
  private isElectionDue(): boolean {
    const { replica } = this;
    const { log } = replica;
    const isDue = replica.env.mono() >= replica.electionDueAt;
    return isDue && log.isBootstrapped() && replica.isVoter() && !log.hasDiskFailed();
  }
  private *startElection(): Task<void> {
    const { replica } = this;
    const afterFullRestart = replica.startedRecently && !replica.hasLeaderTimedOut();
    const votesRequested = yield* this.campaign(afterFullRestart);
    if (afterFullRestart) replica.resetRestartElectionTimer();
    else replica.resetElectionTimer(votesRequested ? Constants.electionTimeoutMinMs : Constants.preVoteRetryMinMs);
  }

  /** Stands for election at once, as the leader of that term has asked for (Ongaro's thesis, section 3.10). */
  acceptLeadershipFrom(term: number): void {
    this.transferredTerm = term;
    Csp.go(this.replica.env.scope, "take over", () => this.campaign(false));
  }

  /**
   * Holds a pre-vote and, if a majority would vote for this server, an election.
   *
   * @param afterFullRestart after a loss of power of all servers, every voter has just started and no lease from before
   *   can be valid. When each of them confirms that, they need not wait for its end. An append from a leader to any of
   *   them ends this at once.
   * @returns whether votes were asked for: a pre-vote alone binds nobody, and may be repeated soon
   */
  private *campaign(afterFullRestart: boolean): Task<boolean> {
    const { replica } = this;
    const { log } = replica;
    this.electionsStarted += 1;
    const termBefore = log.currentTerm;
    const term = termBefore + 1;
    const preVotesNeeded = afterFullRestart ? log.voters().length : replica.majority();
    if (!(yield* this.collectVotes(ConsensusMethod.preVote, term, afterFullRestart, preVotesNeeded))) return false;
    if (log.currentTerm !== termBefore) return false;
    yield* Csp.take(log.diskLock);
    try {
      if (log.currentTerm !== termBefore) return false;
      const saved = yield* log.saveTermAndVote(term, replica.selfId);
      if (!saved.ok) return true;
    } finally {
      Csp.offer(log.diskLock, true);
    }
    replica.role = "candidate";
    replica.env.point(ConsensusFaultPoint.termAndOwnVoteSaved);
    const isWon = yield* this.collectVotes(ConsensusMethod.requestVote, term, afterFullRestart, replica.majority());
    if (!this.isCandidate()) return true;
    if (isWon && log.currentTerm === term) this.becomeLeader();
    else replica.role = "follower";
    return true;
  }
  /** Asked anew after each wait: a message may have changed the role meanwhile. */
  private isCandidate(): boolean {
    return this.replica.role === "candidate";
  }

  /** Whether so many of the voters grant their vote, this server's own included. */
  private *collectVotes(
    method: VoteMethod,
    term: number,
    afterFullRestart: boolean,
    votesNeeded: number,
  ): Task<boolean> {
    const { env, log, selfId } = this.replica;
    const voters = log.voters();
    const votes = Csp.chan<boolean>(Math.max(1, voters.length));
    const request = this.voteRequest(term, afterFullRestart);
    const others = voters.filter((id) => id !== selfId);
    const election = this;
    for (const id of others)
      Csp.go(env.scope, method, function* () {
        const isGranted = yield* election.requestVote(method, { targetId: id, ...request });
        Csp.offer(votes, isGranted);
      });
    let granted = voters.length - others.length;
    for (let received = 0; received < others.length && granted < votesNeeded; received += 1)
      if (yield* Csp.take(votes)) granted += 1;
    return granted >= votesNeeded;
  }
  private voteRequest(term: number, afterFullRestart: boolean): Omit<RequestVoteRequest, "targetId"> {
    const { log } = this.replica;
    return {
      groupId: this.replica.groupId(),
      term,
      candidateId: this.replica.selfId,
      lastLogIndex: log.lastIndex(),
      lastLogTerm: log.lastTerm()!,
      afterFullRestart,
      leadershipTransferred: this.transferredTerm === term - 1,
    };
  }
  private *requestVote(method: VoteMethod, request: RequestVoteRequest): Task<boolean> {
    const { replica } = this;
    const address = replica.hooks.addressOf(request.targetId);
    if (!address) return false;
    const body = MessageCodec.encodeRequestVote(request);
    const response = yield* this.rpc.call(address, method, body, VOTE_TIMEOUT_MS);
    if (!response.ok) return false;
    const decoded = MessageCodec.decodeRequestVoteResponse(response.value);
    if (!decoded.ok) return false;
    if (decoded.message.term > replica.log.currentTerm) yield* replica.stepDown(decoded.message.term, false);
    return decoded.message.voteGranted;
  }

  /** Starts to lead, with an entry of its own term first: it commits all that stands before it (Raft, section 8). */
  private becomeLeader(): void {
    const { replica } = this;
    const term = replica.log.currentTerm;
    replica.role = "leader";
    replica.startedRecently = false;
    replica.leaderId = replica.selfId;
    replica.leaderSince = replica.env.mono();
    replica.followers.clear();
    replica.env.log(ConsensusEvent.electedLeader, { term });
    this.replication.append({ tag: "noop" });
    replica.env.point(ConsensusFaultPoint.elected);
    Csp.go(replica.env.scope, `replication of term ${term}`, () => this.replication.replicateToAll(term));
  }
}
