import invariant from "tiny-invariant";
import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ControlStateMachine } from "../controlState/controlStateMachine";
import { ReplicatedLog, Saved } from "./log";
import { RaftRole } from "./role";

/** What a lead knows of a follower: the next entry for it, up to where it matches, and when it last answered. */
export type Follower = { next: number; match: number; heardAt: number; wake: Chan<true> };
export type ConsensusGroupHooks = {
  addressOf(id: string): string | undefined;
  /** Every control node now alive, this one left out: voters or standbys. */
  otherNodes(): string[];
  onApplied(state: ControlState, index: number): void;
};

/**
 * One replica of the group: its role and term, the state machine, and what election, replication and the receiving of
 * appends share.
 *
 * @example
 * const replica = new Replica(env, "node-1", new ReplicatedLog(slots), hooks);
 */
export class ConsensusReplica {
  commit = 0;
  applied = 0;
  state = ControlState.empty();
  role: RaftRole = "follower";
  leader = "";
  leaderSince = 0;
  heardAt: number;
  followers = new Map<string, Follower>();
  waiting = new Map<number, { term: number; reply: Chan<Result<Outcome>> }>();
  nextElection = 0;
  /** Until an append comes: nothing but our own start keeps us from voting, and we lead nothing. */
  newborn = true;
  private droppedAt = new Map<string, number>();

  constructor(
    readonly env: Env,
    readonly self: string,
    readonly log: ReplicatedLog,
    readonly hooks: ConsensusGroupHooks,
  ) {
    this.heardAt = env.mono();
  }

  /** Reads the disk; what is committed past the snapshot a lead will tell. @example yield* replica.open(); */
  *open(): Task<Result<true>> {
    const opened = yield* this.log.open();
    if (!opened.ok) return opened;
    this.state = structuredClone(this.log.base);
    this.commit = this.applied = this.log.baseIndex;
    return opened;
  }
  /** @example replica.groupId() */
  groupId(): string {
    if (this.state.group) return this.state.group;
    const found = this.log.entries.find((entry) => entry.command.tag === "found");
    return found && found.command.tag === "found" ? found.command.group : "";
  }
  /** Everything anew from one snapshot, on disk first. */
  *install(saved: Saved): Task<Result<true>> {
    const done = yield* this.log.install(saved);
    if (!done.ok) return done;
    this.state = structuredClone(saved.base);
    this.applied = this.commit = saved.baseIndex;
    this.role = "follower";
    this.hooks.onApplied(this.state, this.applied);
    return done;
  }
  /** How many of the newest voters are a quorum. */
  majority = (): number => Math.floor(this.log.voters().length / 2) + 1;
  /** Whether this node leads, is a voter, and has applied an entry of its own term: all of earlier terms with it. */
  leadsCommitted(): boolean {
    return this.role === "leader" && this.isVoter() && this.log.termAt(this.applied) === this.log.term;
  }
  /** Whether this node is one of the newest voters. A lead whose removal is under way is not. */
  isVoter(): boolean {
    return this.log.voters().includes(this.self);
  }
  /** Puts off this node's next election. */
  setElection(leastMs: number = Constants.electionMinMs, spreadMs: number = Constants.electionSpreadMs): void {
    this.nextElection = this.env.mono() + leastMs + this.env.random() * spreadMs;
  }
  /** Spread over some rounds of asking, so that two seldom ask at once. */
  setNewbornElection(): void {
    this.nextElection = this.env.mono() + Constants.newbornElectionMs * (0.2 + 1.6 * this.env.random());
  }
  /** Leads no more, in the same term. What was proposed here and is not committed may yet be. */
  resign(): void {
    if (this.role === "leader") {
      this.env.log(1304, { term: this.log.term });
      for (const waiting of this.waiting.values())
        Csp.offer(
          waiting.reply,
          Fault.fail("unknown", "propose", this.self, "lead changed before the entry was committed"),
        );
      this.waiting.clear();
    }
    this.role = "follower";
    this.followers.clear();
  }
  /** Follows from now on, in a term at least as high. False if the disk doesn't take the term. */
  *stepDown(term: number, withToken: boolean): Task<boolean> {
    this.resign();
    if (term <= this.log.term) return true;
    if (!withToken) yield* Csp.take(this.log.diskToken);
    try {
      if (term <= this.log.term) return true;
      return (yield* this.log.saveVote(term, "")).ok;
    } finally {
      if (!withToken) Csp.offer(this.log.diskToken, true);
    }
  }
  /** Applies what is committed, in order, and answers those who wait for it. */
  applyCommitted(): void {
    while (this.applied < this.commit) {
      const entry = this.log.entries[this.applied - this.log.startIndex];
      invariant(entry?.index === this.applied + 1, "entries are applied one after the other, none left out");
      const outcome = ControlStateMachine.apply(this.state, entry.index, entry.command);
      this.applied = entry.index;
      const waiting = this.waiting.get(entry.index);
      this.waiting.delete(entry.index);
      if (waiting)
        Csp.offer(
          waiting.reply,
          waiting.term === entry.term
            ? Fault.ok(outcome)
            : Fault.fail("conflict", "propose", this.self, "entry was replaced"),
        );
    }
    this.hooks.onApplied(this.state, this.applied);
  }
  /** Whether no lead was heard for so long that one may be elected. */
  quiet = (): boolean => this.role !== "leader" && this.env.mono() - this.heardAt >= Constants.electionMinMs;
  /** What is meant for another member is not answered in its name: an emptied machine at its address holds neither its log nor its vote. */
  forUs(to: string, step: string): Result<never> | undefined {
    return to === this.self
      ? undefined
      : Fault.fail("refused", step, this.self, `meant for ${to}, which is no longer here`);
  }
  /** Drops a message that is damaged, of another group or against what is committed; each cause is logged now and then. */
  drop(event: 1320 | 1321, step: string, from: unknown, cause: string): Result<never> {
    const now = this.env.mono();
    if (now - (this.droppedAt.get(cause) ?? -Infinity) >= Constants.droppedLogMs) {
      this.droppedAt.set(cause, now);
      this.env.log(event, { step, from, cause });
    }
    return Fault.fail("invalid", step, this.self, cause);
  }
}
