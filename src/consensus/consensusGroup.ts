import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools } from "../runtime/env";
import { TwoSlots } from "../runtime/twoSlots";
import { Fault, Result } from "../common/fault";
import { Rpc } from "../rpc/rpc";
import { Command, Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ControlStateMachine } from "../controlState/controlStateMachine";
import { GroupRecovery } from "../controlState/groupRecovery";
import { ShardView } from "../controlState/shardView";
import { AppendReceiver } from "./appendReceiver";
import { Election } from "./election";
import { ReplicatedLog, Saved } from "./log";
import { MembershipChange } from "./membershipChange";
import { LogEntry, LeadershipTransferRequest } from "./messages";
import { ConsensusGroupHooks, ConsensusReplica } from "./replica";
import { Replication } from "./replication";

export type { LogEntry as Entry } from "./messages";
export type { ConsensusGroupHooks as GroupHooks } from "./replica";
/** What one replica of the log holds at this instant, for tools that compare replicas. */
export type ConsensusGroupInspection = { term: number; entries: readonly LogEntry[] };

/**
 * The control group's log: election with terms and pre-vote, entries synced on a majority before any
 * reply, voters changed one at a time through the log itself.
 *
 * @example
 * const group = new Group(env, rpc, "node-1", new TwoSlots(env, "data/control"), hooks);
 * yield* group.open();
 * group.start();
 * const outcome = yield* group.propose({ tag: "noop" }, 1500);
 */
export class ConsensusGroup {
  private readonly log: ReplicatedLog;
  private readonly replica: ConsensusReplica;
  private readonly replication: Replication;
  private readonly election: Election;
  private readonly receiver: AppendReceiver;

  constructor(
    private readonly env: Env,
    private readonly rpc: Rpc,
    private readonly self: string,
    slots: TwoSlots,
    hooks: ConsensusGroupHooks,
  ) {
    this.log = new ReplicatedLog(slots);
    this.replica = new ConsensusReplica(env, self, this.log, hooks);
    this.replication = new Replication(this.replica, rpc);
    this.election = new Election(this.replica, this.replication, rpc);
    this.receiver = new AppendReceiver(this.replica);
  }

  /** Reads what this node had on disk. @example yield* group.open(); */
  *open(): Task<Result<true>> {
    return yield* this.replica.open();
  }
  /** @example group.start(); */
  start(): void {
    this.rpc.handle("group.preVote", (body) => this.election.onPreVote(body));
    this.rpc.handle("group.vote", (body) => this.election.onVote(body));
    this.rpc.handle("group.append", (body) => this.receiver.onAppend(body));
    this.rpc.handle("group.takeOver", (body) => this.election.onTakeOver(body));
    this.replica.heardAt = this.env.mono(); // a restarted voter grants nothing for one grant time
    this.replica.setNewbornElection();
    EnvTools.keep(this.env, this.env.scope, "election", () => this.election.electionLoop());
    EnvTools.keep(this.env, this.env.scope, "log writer", () => this.replication.writeLoop());
  }
  /** Whether this member belongs to a founded group. @example if (!group.founded()) yield* found(); */
  isBootstrapped(): boolean {
    return this.log.founded();
  }
  /** @example group.groupId() */
  groupId(): string {
    return this.replica.groupId();
  }
  /** The voters of the newest entry that names them, committed or not. */
  voters(): string[] {
    return this.log.voters();
  }
  /** The log as it is held now; what it returns must not be changed. @example group.inspect().entries.length */
  inspect(): ConsensusGroupInspection {
    return { term: this.log.term, entries: this.log.entries };
  }
  /** Index of the newest entry known to be on a majority of disks. */
  get commitIndex(): number {
    return this.replica.commit;
  }
  /** Index of the newest entry that the state holds. */
  get lastApplied(): number {
    return this.replica.applied;
  }
  /** The state machine. */
  get state(): ControlState {
    return this.replica.state;
  }
  /** Whether this node follows, asks for votes or leads. */
  get role(): ConsensusReplica["role"] {
    return this.replica.role;
  }
  /** The lead last heard of, or "". */
  get leaderId(): string {
    return this.replica.leader;
  }
  /** When this node was last elected, on its monotonic clock. */
  get leaderSince(): number {
    return this.replica.leaderSince;
  }
  /** How often this node asked for votes. */
  get electionsStarted(): number {
    return this.election.elections;
  }
  /** Index of the snapshot. */
  get snapshotIndex(): number {
    return this.log.baseIndex;
  }
  /** @example group.lastIndex() >= group.applied */
  lastLogIndex(): number {
    return this.log.lastIndex();
  }
  /**
   * Whether the lead's grant, counted from before the asking, still stands, and what was committed before its time is
   * applied here: an entry of its own term is committed.
   * @example if (!group.holdsLead()) return;
   */
  hasLeaderLease(): boolean {
    return this.replication.holdsLeader();
  }
  /**
   * The newest time T on this node's monotonic clock such that a majority of the voters acknowledged this lead in
   * reply to requests begun at T or later; the lead itself counts as acknowledged now. What the lead had applied at T
   * was current then. -Infinity on any other node, and until an entry of the lead's own term is applied.
   * @example const currentAsOf = group.quorumContactAt();
   */
  quorumContactAt(): number {
    return this.replication.quorumContactAt();
  }
  /** How far a member is behind, in entries. @example group.lag("node-4") */
  lag(id: string): number {
    return this.replication.lag(id);
  }
  /**
   * Whether a standby may be counted on as a voter from its first entry on: it holds the log nearly to its end, and was
   * heard just now. One that has nothing yet could neither acknowledge nor vote, and the group might need it to.
   * @example group.caughtUp("node-4")
   */
  isCaughtUp(id: string): boolean {
    return this.replication.caughtUp(id);
  }
  /** The founding entry, the same on every founder. @example yield* group.found("g-1", ["a", "b", "c"]); */
  *bootstrap(group: string, voters: string[]): Task<Result<true>> {
    yield* Csp.take(this.log.diskToken);
    try {
      if (this.log.founded())
        return this.replica.groupId() === group
          ? Fault.ok(true as const)
          : Fault.fail("conflict", "found", this.self, "already in a group");
      return yield* this.log.found(group, voters);
    } finally {
      Csp.offer(this.log.diskToken, true);
    }
  }
  /**
   * Goes on from this voter alone, by an operator's explicit word: everything on its disk counts as committed, the group
   * gets a name of a later generation, and terms, indexes and epochs begin above all that the lost voters may have given.
   * @example yield* group.recover({ group: "g", voter: "c1", by: "ann" }, views)
   */
  *recover(
    asked: { group: string; voter: string; by: string },
    views: ShardView[],
  ): Task<Result<{ group: string; upTo: number }>> {
    yield* Csp.take(this.log.diskToken);
    try {
      const refuse = (detail: string): Result<never> => Fault.fail("conflict", "recover", this.self, detail);
      if (asked.group !== this.replica.groupId())
        return refuse(`this voter belongs to group ${this.replica.groupId() || "none"}`);
      if (asked.voter !== this.self || !this.log.voters().includes(this.self))
        return refuse(`this is ${this.self}, voters are ${this.log.voters().join(", ")}`);
      if (this.replica.role === "leader" && this.hasLeaderLease()) return refuse("the group has a lead");
      const state = structuredClone(this.replica.state);
      for (const entry of this.log.entries.filter(
        (each) => each.index > this.replica.applied && each.index <= this.log.synced,
      ))
        ControlStateMachine.apply(state, entry.index, entry.command);
      const [term, baseIndex] = [
        this.log.term + Constants.recoveredIndexes,
        this.log.synced + Constants.recoveredIndexes,
      ];
      const upTo = this.log.synced;
      const saved: Saved = {
        term,
        votedFor: "",
        baseIndex,
        baseTerm: term,
        base: GroupRecovery.recoveredState(state, baseIndex, this.self, views, asked.by),
        entries: [],
      };
      const done = yield* this.replica.install(saved);
      if (!done.ok) return done;
      this.env.log(1308, { group: this.replica.groupId(), voter: this.self, upTo });
      return Fault.ok({ group: this.replica.groupId(), upTo });
    } finally {
      Csp.offer(this.log.diskToken, true);
    }
  }
  /** Puts a command to the group; the fault "unknown" means it may yet be taken. @example yield* group.propose(command, 1500) */
  *propose(command: Command, withinMs: number): Task<Result<Outcome>> {
    if (!this.hasLeaderLease())
      return Fault.fail("notLead", "propose", this.self, this.replica.role === "leader" ? "" : this.replica.leader);
    const refusal = MembershipChange.refusal(command, this.log, this.replica.commit);
    if (refusal !== undefined) return Fault.fail("conflict", "propose", this.self, refusal);
    const entry = this.replication.append(command);
    const response = Csp.chan<Result<Outcome>>(1);
    this.replica.waiting.set(entry.index, { term: entry.term, reply: response });
    const replied = yield* EnvTools.takeWithin(this.env, response, withinMs);
    this.replica.waiting.delete(entry.index);
    return replied ?? Fault.fail("unknown", "propose", this.self, "no majority answered in time");
  }
  /**
   * A lead that is told to stop: the voter whose log is longest stands for election at once. The lease is given up
   * before it is asked to, so the others need not wait for its end.
   * @example yield* group.handOver();
   */
  *transferLeadership(): Task<void> {
    const { term } = this.log;
    const until = this.env.mono() + Constants.handOverWaitMs;
    const settled = (): boolean =>
      this.replica.commit === this.log.lastIndex() && this.lag(this.replication.successor()) === 0;
    while (this.hasLeaderLease() && !settled() && this.env.mono() < until) yield* EnvTools.sleep(this.env, 10);
    const successor = this.replication.successor();
    const address = this.replica.hooks.addressOf(successor);
    if (!this.hasLeaderLease() || this.log.term !== term || !address) return;
    this.replica.resign();
    this.replica.setElection();
    const body: LeadershipTransferRequest = { to: successor, group: this.replica.groupId(), term };
    yield* this.rpc.call(address, "group.takeOver", body, Constants.handOverWaitMs);
  }
}
