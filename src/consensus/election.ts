import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { ReplicatedLog } from "./log";
import { VoteRequest, Messages, LeadershipTransferRequest, VoteResponse } from "./messages";
import { ConsensusReplica } from "./replica";
import { Replication } from "./replication";

/**
 * Leader election: timeouts, pre-votes and votes, on both sides.
 *
 * @example
 * const election = new Election(replica, replication, rpc);
 * EnvTools.keep(env, env.scope, "election", () => election.electionLoop());
 */
export class Election {
  /** The last term whose lead handed over to this node. */
  private handedOverTerm = -1;
  elections = 0;
  private readonly env: Env;
  private readonly self: string;
  private readonly log: ReplicatedLog;

  constructor(
    private readonly replica: ConsensusReplica,
    private readonly replication: Replication,
    private readonly rpc: Rpc,
  ) {
    this.env = replica.env;
    this.self = replica.self;
    this.log = replica.log;
  }

  /** Campaigns when no lead was heard in time; a lead that lost its majority for long steps down. */
  *electionLoop(): Task<void> {
    for (;;) {
      yield* EnvTools.sleep(this.env, this.untilLook());
      if (this.replica.role === "leader") {
        // a lead that lost its majority for long says so and steps down
        const now = this.env.mono();
        const heard = this.log
          .voters()
          .filter(
            (id) =>
              id === this.self ||
              now - (this.replica.followers.get(id)?.heardAt ?? -Infinity) < 2 * Constants.electionMinMs,
          );
        if (heard.length < this.replica.majority() && now - this.replica.leaderSince > 2 * Constants.electionMinMs) {
          this.env.log(1307, { heard });
          this.replica.leader = "";
          yield* this.replica.stepDown(this.log.term, false);
        }
        continue;
      }
      if (
        this.env.mono() < this.replica.nextElection ||
        !this.log.founded() ||
        !this.log.voters().includes(this.self) ||
        this.log.broken()
      )
        continue;
      const newborn = this.replica.newborn && !this.replica.quiet();
      const asked = yield* this.campaign(newborn);
      if (newborn) this.replica.setNewbornElection();
      else this.replica.setElection(asked ? Constants.electionMinMs : Constants.electionAgainMs);
    }
  }
  /** A follower has nothing to do before its next election would be due: every heartbeat puts that off. */
  private untilLook(): number {
    if (this.replica.newborn) return 10;
    if (this.replica.role === "leader") return Constants.heartbeatMs;
    return this.log.founded()
      ? Math.min(Constants.electionLookMs, Math.max(20, this.replica.nextElection - this.env.mono()))
      : 60;
  }
  /** Whether so many of the voters grant their vote. */
  private *askVotes(verb: string, term: number, ofNewborns: boolean, needed: number): Task<boolean> {
    const voters = this.log.voters();
    const responses = Csp.chan<boolean>(Math.max(1, voters.length));
    const election = this;
    const body = {
      group: this.replica.groupId(),
      term,
      candidate: this.self,
      lastIndex: this.log.lastIndex(),
      lastTerm: this.log.termAt(this.log.lastIndex())!,
      ofNewborns,
      ...(this.handedOverTerm === term - 1 ? { handedOver: true } : {}),
    };
    const others = voters.filter((id) => id !== this.self);
    for (const id of others)
      Csp.go(this.env.scope, verb, function* () {
        const address = election.replica.hooks.addressOf(id);
        const response = address
          ? yield* election.rpc.call<VoteResponse>(address, verb, { to: id, ...body } satisfies VoteRequest, 300)
          : undefined;
        if (response?.ok && response.value.term > election.log.term)
          yield* election.replica.stepDown(response.value.term, false);
        Csp.offer(responses, response?.ok === true && response.value.granted === true);
      });
    let granted = voters.length - others.length; // our own vote, if we are a voter
    for (let heard = 0; heard < others.length && granted < needed; heard += 1)
      if (yield* Csp.take(responses)) granted += 1;
    return granted >= needed;
  }
  /**
   * Whether a vote was asked for: a pre-vote alone binds nobody, and may soon be asked again. Of newborns: after a loss
   * of power of all, every voter has just started and nobody can hold a grant from before; when each of them says so,
   * they need not wait for its end. An append heard by any of them ends this at once.
   */
  private *campaign(ofNewborns: boolean): Task<boolean> {
    this.elections += 1;
    const startedTerm = this.log.term;
    if (
      !(yield* this.askVotes(
        "group.preVote",
        startedTerm + 1,
        ofNewborns,
        ofNewborns ? this.log.voters().length : this.replica.majority(),
      ))
    )
      return false;
    if (this.log.term !== startedTerm) return false;
    yield* Csp.take(this.log.diskToken);
    try {
      if (this.log.term !== startedTerm) return false;
      const saved = yield* this.log.saveVote(startedTerm + 1, this.self);
      if (!saved.ok) return true;
    } finally {
      Csp.offer(this.log.diskToken, true);
    }
    this.replica.role = "candidate";
    this.env.point(31);
    const won = yield* this.askVotes("group.vote", startedTerm + 1, ofNewborns, this.replica.majority());
    if (!won || this.log.term !== startedTerm + 1 || (this.replica.role as string) !== "candidate") {
      if ((this.replica.role as string) === "candidate") this.replica.role = "follower";
      return true;
    }
    this.won();
    return true;
  }
  /** The lead that stops asks this node to stand for election. */
  *onTakeOver(body: LeadershipTransferRequest): Task<Result<true>> {
    const other = this.replica.forUs(body.to, "takeOver");
    if (other) return other;
    const fits =
      body.group === this.replica.groupId() && body.term === this.log.term && this.replica.role === "follower";
    if (!fits || !this.log.voters().includes(this.self) || this.log.broken())
      return Fault.fail("conflict", "takeOver", this.self, `term ${this.log.term}`);
    this.handedOverTerm = body.term;
    Csp.go(this.env.scope, "take over", () => this.campaign(false));
    return Fault.ok(true as const);
  }
  /** Whether this node would vote so: it binds nobody. */
  *onPreVote(body: VoteRequest): Task<Result<VoteResponse>> {
    const refused = this.replica.forUs(body.to, "preVote") ?? this.voteRefusal(body, "preVote");
    if (refused) return refused;
    return Fault.ok({
      term: this.log.term,
      granted: (this.replica.quiet() || this.waives(body)) && body.term > this.log.term && this.atLeast(body),
    });
  }
  /** A vote, on disk before it is given. */
  *onVote(body: VoteRequest): Task<Result<VoteResponse>> {
    const refused = this.replica.forUs(body.to, "vote") ?? this.voteRefusal(body, "vote");
    if (refused) return refused;
    if (!this.log.founded()) return Fault.ok({ term: this.log.term, granted: false });
    yield* Csp.take(this.log.diskToken);
    try {
      if (body.term < this.log.term || !(this.replica.quiet() || this.waives(body)))
        return Fault.ok({ term: this.log.term, granted: false });
      if (body.term > this.log.term && !(yield* this.replica.stepDown(body.term, true)))
        return Fault.fail("disk", "vote", this.self, "term not saved");
      const granted = (this.log.votedFor === "" || this.log.votedFor === body.candidate) && this.atLeast(body);
      if (granted && this.log.votedFor === "") {
        const saved = yield* this.log.saveVote(this.log.term, body.candidate);
        if (!saved.ok) return saved;
        this.replica.setElection();
      }
      this.env.point(34);
      return Fault.ok({ term: this.log.term, granted });
    } finally {
      Csp.offer(this.log.diskToken, true);
    }
  }
  /** Drops what asks for no vote of this group. */
  private voteRefusal(body: VoteRequest, step: string): Result<VoteResponse> | undefined {
    const fault =
      Messages.voteFault(body) ?? (body.group === this.replica.groupId() ? undefined : "another group's candidate");
    if (fault === undefined) return undefined;
    if (this.log.founded()) this.replica.drop(1321, step, body.candidate, fault);
    return Fault.ok({ term: this.log.term, granted: false });
  }
  /** Whether nothing but our own start speaks against a vote that all voters, just started too, are asked for. */
  private waives = (body: VoteRequest): boolean =>
    this.replica.role !== "leader" &&
    ((body.ofNewborns && this.replica.newborn) || (!!body.handedOver && body.term === this.log.term + 1));
  /** Whether a candidate's log holds all that this one may have acknowledged. */
  private atLeast = (body: { lastIndex: number; lastTerm: number }): boolean => {
    const ourTerm = this.log.termAt(this.log.lastIndex()) ?? 0;
    return body.lastTerm > ourTerm || (body.lastTerm === ourTerm && body.lastIndex >= this.log.lastIndex());
  };
  /** Leads from now on, with an entry of its own term first. */
  private won(): void {
    this.replica.role = "leader";
    this.replica.newborn = false;
    this.replica.leader = this.self;
    this.replica.leaderSince = this.env.mono();
    this.replica.followers.clear();
    this.env.log(1303, { term: this.log.term });
    this.replication.append({ tag: "noop" });
    this.env.point(32);
    const term = this.log.term;
    Csp.go(this.env.scope, `replication of term ${term}`, () => this.replication.replicators(term));
  }
}
