import { Fault, Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { ConsensusEvent, ConsensusFaultPoint } from "./consensusEvents";
import { ConsensusReplica } from "./consensusReplica";
import { Election } from "./election";
import { MessageCodec } from "./messageCodec";
import { RequestVoteRequest } from "./messages";
import { RequestVoteRequestOnWire, RequestVoteResponseOnWire, TimeoutNowRequestOnWire } from "./wireMessages";

/**
 * The voter's side of leader election. It handles requests for votes and pre-votes (Raft, sections 5.2 and 5.4.1), and
 * a leader's request to start an election.
 *
 * A voter that has recently been in contact with a leader denies its vote (Raft, end of section 6). The leader's lease
 * depends on that.
 */
export class VoteHandler {
  constructor(
    private readonly replica: ConsensusReplica,
    private readonly election: Election,
  ) {}

  /** Responds whether this server could vote for the candidate, without changing any state. Fault: refused. */
  *onPreVote(body: RequestVoteRequestOnWire): Task<Result<RequestVoteResponseOnWire>> {
    const misdirected = this.replica.rejectMisdirected(body.to, "preVote");
    if (misdirected) return misdirected;
    const request = this.decode(body, "preVote");
    if (!request || this.replica.log.hasDiskFailed()) return this.response(false);
    return this.response(
      this.leaseAllowsVote(request) && request.term > this.replica.log.currentTerm && this.isUpToDate(request),
    );
  }

  /** Grants at most one vote per term, and saves it to disk before responding. Faults: refused, disk. */
  *onRequestVote(body: RequestVoteRequestOnWire): Task<Result<RequestVoteResponseOnWire>> {
    const { replica } = this;
    const { log } = replica;
    const misdirected = replica.rejectMisdirected(body.to, "vote");
    if (misdirected) return misdirected;
    const request = this.decode(body, "vote");
    if (!request || !log.isBootstrapped()) return this.response(false);
    yield* Csp.take(log.diskLock);
    try {
      if (log.hasDiskFailed()) return Fault.fail("disk", "vote", replica.selfId, "disk failed");
      if (request.term < log.currentTerm || !this.leaseAllowsVote(request)) return this.response(false);
      if (request.term > log.currentTerm && !(yield* replica.stepDown(request.term, true)))
        return Fault.fail("disk", "vote", replica.selfId, "term not saved");
      const mayVote = log.votedFor === "" || log.votedFor === request.candidateId;
      const isGranted = mayVote && this.isUpToDate(request);
      if (isGranted && log.votedFor === "") {
        // Before the write, since the timer may expire during it.
        replica.resetElectionTimer();
        const saved = yield* log.saveTermAndVote(log.currentTerm, request.candidateId);
        if (!saved.ok) return saved;
      }
      replica.env.faultPoint(ConsensusFaultPoint.voteDecided);
      return this.response(isGranted);
    } finally {
      Csp.offer(log.diskLock, true);
    }
  }

  /** Starts an election immediately if the leader of the current term requests it. Faults: refused, conflict. */
  *onTimeoutNow(body: TimeoutNowRequestOnWire): Task<Result<true>> {
    const { replica } = this;
    const { log } = replica;
    const request = MessageCodec.decodeTimeoutNow(body);
    const misdirected = replica.rejectMisdirected(request.targetId, "takeOver");
    if (misdirected) return misdirected;
    const isFromCurrentLeader = request.groupId === replica.groupId() && request.term === log.currentTerm;
    const canCampaign = replica.role === "follower" && replica.isVoter() && !log.hasDiskFailed();
    if (!isFromCurrentLeader || !canCampaign)
      return Fault.fail("conflict", "takeOver", replica.selfId, `term ${log.currentTerm}`);
    this.election.acceptLeadershipFrom(request.term);
    return Fault.ok(true as const);
  }

  /**
   * Decodes a request. Returns undefined if it is malformed or from another group, which is logged if this server
   * belongs to a group.
   */
  private decode(body: RequestVoteRequestOnWire, step: string): RequestVoteRequest | undefined {
    const decoded = MessageCodec.decodeRequestVote(body);
    if (decoded.ok && decoded.message.groupId === this.replica.groupId()) return decoded.message;
    const reason = decoded.ok ? "another group's candidate" : decoded.defect;
    if (this.replica.log.isBootstrapped())
      this.replica.reject(ConsensusEvent.messageRejected, step, body.candidate, reason);
    return undefined;
  }
  private response(voteGranted: boolean): Result<RequestVoteResponseOnWire> {
    return Fault.ok(MessageCodec.encodeRequestVoteResponse({ term: this.replica.log.currentTerm, voteGranted }));
  }

  /** Whether no leader's lease can still be valid, so that this server is free to vote. */
  private leaseAllowsVote(request: RequestVoteRequest): boolean {
    return this.replica.hasLeaderTimedOut() || this.isLeaseWaived(request);
  }
  /**
   * A voter need not wait for a lease to expire if all voters have just started, or if its holder has given it up for
   * the candidate.
   */
  private isLeaseWaived(request: RequestVoteRequest): boolean {
    const { replica } = this;
    if (replica.role === "leader") return false;
    if (request.afterFullRestart && replica.startedRecently) return true;
    return request.leadershipTransferred && request.term === replica.log.currentTerm + 1;
  }
  /**
   * Whether the candidate's log is at least as up to date as this server's log, and so has all entries that this server
   * acknowledged.
   */
  private isUpToDate({ lastLogIndex, lastLogTerm }: RequestVoteRequest): boolean {
    const { log } = this.replica;
    const ownLastTerm = log.lastTerm() ?? 0;
    return lastLogTerm > ownLastTerm || (lastLogTerm === ownLastTerm && lastLogIndex >= log.lastIndex());
  }
}
