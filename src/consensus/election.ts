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

/** Interval between checks of the election timer until the first contact with a leader after a start, in ms. */
const CHECK_AFTER_START_MS = 10;
/** Interval between checks of the election timer before the group is bootstrapped, in ms. */
const CHECK_BEFORE_BOOTSTRAP_MS = 60;
/** Minimum interval between checks of a running election timer, in ms. */
const MIN_CHECK_MS = 20;
/** Time-out of a request for a vote, in ms. A missing response counts as a denied vote. */
const VOTE_TIMEOUT_MS = 300;
/** A leader steps down after this many minimum election time-outs without contact to a majority. */
const MAJORITY_LOST_TIMEOUTS = 2;

type VoteMethod = typeof ConsensusMethod.preVote | typeof ConsensusMethod.requestVote;

/**
 * The candidate's side of leader election (Raft, section 5.2). Pre-votes (Ongaro's thesis, section 9.6) keep a server
 * that cannot win from disrupting the others with a higher term.
 */
export class Election {
  /** Number of elections, pre-votes included, that this server has started. */
  electionsStarted = 0;
  /** The last term whose leader transferred its leadership to this server; -1 if there is none. */
  private transferredTerm = -1;

  constructor(
    private readonly replica: ConsensusReplica,
    private readonly replication: Replication,
    private readonly lease: LeaderLease,
    private readonly rpc: Rpc,
  ) {}

  /**
   * Starts an election whenever the election timer expires. A leader steps down when it has lost contact to a majority.
   * Runs until its scope ends.
   */
  *run(): Task<void> {
    const { replica } = this;
    for (;;) {
      yield* EnvironmentTools.sleep(replica.env, this.msUntilNextCheck());
      if (replica.role === "leader") yield* this.stepDownWithoutMajority();
      else if (this.isElectionDue()) yield* this.startElection();
    }
  }
  /** A follower can sleep until its election timer expires, because every heartbeat only postpones that. */
  private msUntilNextCheck(): number {
    const { replica } = this;
    if (replica.startedRecently) return CHECK_AFTER_START_MS;
    if (replica.role === "leader") return Constants.heartbeatMs;
    if (!replica.log.isBootstrapped()) return CHECK_BEFORE_BOOTSTRAP_MS;
    const msUntilDue = replica.electionDueAt - replica.env.monotonicMs();
    return Math.min(Constants.electionCheckMaxMs, Math.max(MIN_CHECK_MS, msUntilDue));
  }
  private *stepDownWithoutMajority(): Task<void> {
    const { replica } = this;
    const windowMs = MAJORITY_LOST_TIMEOUTS * Constants.electionTimeoutMinMs;
    const inContact = this.lease.votersInContactWithin(windowMs);
    if (inContact.length >= replica.majority()) return;
    if (replica.env.monotonicMs() - replica.leaderSince <= windowMs) return;
    replica.env.log(ConsensusEvent.majorityLost, { heard: inContact });
    replica.leaderId = "";
    yield* replica.stepDown(replica.log.currentTerm, false);
  }
  private isElectionDue(): boolean {
    const { replica } = this;
    const { log } = replica;
    const isDue = replica.env.monotonicMs() >= replica.electionDueAt;
    return isDue && log.isBootstrapped() && this.mayLead() && !log.hasDiskFailed();
  }
  /**
   * A voter whose own removal is not committed may have the longest log of all, so that no other voter can be elected
   * (Ongaro's thesis, section 4.2.2).
   */
  private mayLead(): boolean {
    const { replica } = this;
    return replica.isVoter() || replica.state.voters.includes(replica.selfId);
  }
  private *startElection(): Task<void> {
    const { replica } = this;
    const afterFullRestart = replica.startedRecently && !replica.hasLeaderTimedOut();
    const termBefore = replica.log.currentTerm;
    const votesRequested = yield* this.campaign(afterFullRestart);
    // A voter that has voted meanwhile leaves the candidate the time to become the leader.
    if (afterFullRestart && !votesRequested && replica.log.currentTerm !== termBefore) return;
    if (afterFullRestart) replica.resetRestartElectionTimer();
    else replica.resetElectionTimer(votesRequested ? Constants.electionTimeoutMinMs : Constants.preVoteRetryMinMs);
  }

  /** Starts an election immediately, at the request of the leader of the given term (Ongaro's thesis, section 3.10). */
  acceptLeadershipFrom(term: number): void {
    this.transferredTerm = term;
    Csp.go(this.replica.env.scope, "take over", () => this.campaign(false));
  }

  /**
   * Runs a pre-vote and, if it succeeds, an election.
   *
   * @param afterFullRestart whether all voters are assumed to have just started, as after a power loss of all servers, so
   *   that no earlier lease can still be valid. If every voter confirms this in the pre-vote, none of them has to wait for
   *   a lease to expire. A voter no longer confirms it once a leader has sent it an AppendEntries request.
   * @returns whether the pre-vote succeeded and the election proper was started. A pre-vote alone changes no state, so it
   *   may be retried soon.
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
    replica.env.faultPoint(ConsensusFaultPoint.termAndOwnVoteSaved);
    const hasWon = yield* this.collectVotes(ConsensusMethod.requestVote, term, afterFullRestart, replica.majority());
    if (!this.isCandidate()) return true;
    if (hasWon && log.currentTerm === term) this.becomeLeader();
    else replica.role = "follower";
    return true;
  }
  /** A method, because the role may have changed during each wait for a message. */
  private isCandidate(): boolean {
    return this.replica.role === "candidate";
  }

  /**
   * Requests votes from all voters and returns whether `votesNeeded` are granted. This server's own vote counts if it
   * is a voter.
   */
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
    let grantedCount = voters.length - others.length;
    for (let receivedCount = 0; receivedCount < others.length && grantedCount < votesNeeded; receivedCount += 1)
      if (yield* Csp.take(votes)) grantedCount += 1;
    return grantedCount >= votesNeeded;
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

  /**
   * Becomes leader and appends an entry of its own term, whose commit also commits all entries before it (Raft, section
   * 8).
   */
  private becomeLeader(): void {
    const { replica } = this;
    const term = replica.log.currentTerm;
    replica.role = "leader";
    replica.startedRecently = false;
    replica.leaderId = replica.selfId;
    replica.leaderSince = replica.env.monotonicMs();
    replica.followers.clear();
    replica.env.log(ConsensusEvent.electedLeader, { term });
    this.replication.append({ tag: "noop" });
    replica.env.faultPoint(ConsensusFaultPoint.elected);
    Csp.go(replica.env.scope, `replication of term ${term}`, () => this.replication.replicateToAll(term));
  }
}
