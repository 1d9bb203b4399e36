import type { ConsensusGroup, ConsensusGroupInspection } from "../consensus/consensusGroup";
import { Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { Reference } from "./reference";

type Entry = ConsensusGroupInspection["entries"][number];
/** One running replica, as the invariants see it. */
export type Replica = { id: string; group: ConsensusGroup };
/** Every invariant by the name that a failing walk prints. */
export type InvariantName =
  | "one-lead-a-term"
  | "one-leaseholder"
  | "logs-match"
  | "committed-stays"
  | "replicas-agree"
  | "acknowledged-stays"
  | "one-change-a-version"
  | "same-outcome-again"
  | "lease-read-current"
  | "one-uncommitted-voter-change"
  | "commit-never-falls"
  | "lead-after-heal"
  | "converged-after-heal"
  | "no-task-error";

/** A broken invariant ends the walk. */
export class Violation extends Error {
  constructor(
    readonly invariant: InvariantName,
    readonly detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}

type Committed = { term: number; command: string };
type Acknowledged = { outcome: Outcome; index: number };

/**
 * The invariants of the group, kept over a whole walk: what was ever seen committed, acknowledged or led is remembered
 * here, and everything that comes later is compared with it.
 *
 * @example
 * const invariants = new Invariants();
 * invariants.applied(replica, state, index); // from the group's hook
 * invariants.leases(running);
 */
export class Invariants {
  /** The first violation; kept, since it may be found in the middle of a replica's own code. */
  violation: Violation | undefined;
  readonly reference = new Reference();
  private readonly committed: Committed[] = [];
  private readonly digests: string[] = [this.reference.digest()];
  private readonly committedVoters: string[][] = [[]];
  private readonly leaderOfTerm = new Map<number, string>();
  /** Each entry ever seen by index and term, with the term before it: equal entries have equal logs before them. */
  private readonly seenEntries = new Map<string, string>();
  private readonly checkedEntries = new WeakMap<Entry, number>();
  private readonly commitOf = new WeakMap<ConsensusGroup, number>();
  private readonly acknowledged = new Map<string, Acknowledged>();
  private readonly changeOfVersion = new Map<string, string>();
  private acknowledgedIndex = 0;

  private broken(invariant: InvariantName, detail: string): void {
    this.violation ??= new Violation(invariant, detail);
  }
  /** The newest index that any replica ever took for committed. */
  get committedIndex(): number {
    return this.committed.length;
  }
  /** The voters as of that index. */
  get voters(): string[] {
    return this.committedVoters[this.committedIndex];
  }
  get acknowledgedChanges(): string[] {
    return [...this.acknowledged.keys()];
  }

  /** A replica won an election. */
  elected(id: string, term: number): void {
    const known = this.leaderOfTerm.get(term);
    if (known !== undefined && known !== id)
      this.broken("one-lead-a-term", `${known} and ${id} both lead term ${term}`);
    this.leaderOfTerm.set(term, id);
  }

  /** A replica has applied its log up to an index. */
  applied(replica: Replica, state: ControlState, index: number): void {
    const { entries } = replica.group.inspect();
    for (const entry of entries) {
      if (entry.index > index) break;
      this.commit(replica.id, entry);
    }
    this.compareState(replica.id, state, index);
  }
  /** A replica has opened its disk, or applied something. */
  compareState(id: string, state: ControlState, index: number): void {
    const expected = this.digests[index];
    if (expected === undefined)
      return this.broken("committed-stays", `${id} applied ${index}, which was never committed`);
    const found = Reference.digestOf(state);
    if (found !== expected) this.broken("replicas-agree", `${id} at index ${index} has ${found}, expected ${expected}`);
  }
  private commit(id: string, entry: Entry): void {
    const known = this.committed[entry.index - 1];
    if (known) {
      if (known.term === entry.term) return;
      const detail = `index ${entry.index} was committed as term ${known.term} ${known.command}`;
      return this.broken("committed-stays", `${detail}, and is term ${entry.term} at ${id}`);
    }
    if (entry.index !== this.committedIndex + 1) return;
    this.committed.push({ term: entry.term, command: JSON.stringify(entry.command) });
    this.reference.apply(entry.command);
    this.digests.push(this.reference.digest());
    const voters = "voters" in entry.command ? entry.command.voters : this.committedVoters[entry.index - 1];
    this.committedVoters.push(voters);
  }

  /** A caller has been told the outcome of its change. */
  told(id: string, register: string, changeId: string, outcome: Outcome): void {
    const earlier = this.acknowledged.get(changeId);
    if (earlier && JSON.stringify(earlier.outcome) !== JSON.stringify(outcome))
      return this.broken(
        "same-outcome-again",
        `${changeId} was told ${JSON.stringify(earlier.outcome)} and then ${JSON.stringify(outcome)} by ${id}`,
      );
    if (outcome.tag !== "done") return;
    const version = `${register} ${outcome.version}`;
    const other = this.changeOfVersion.get(version);
    if (other !== undefined && other !== changeId)
      this.broken("one-change-a-version", `${other} and ${changeId} are both acknowledged as ${version}`);
    this.changeOfVersion.set(version, changeId);
    const committed = this.reference.outcomes.get(changeId);
    if (JSON.stringify(committed) !== JSON.stringify(outcome))
      this.broken(
        "acknowledged-stays",
        `${changeId} was told ${JSON.stringify(outcome)}, committed is ${JSON.stringify(committed)}`,
      );
    this.acknowledged.set(changeId, { outcome, index: this.committedIndex });
    this.acknowledgedIndex = Math.max(this.acknowledgedIndex, this.indexOf(changeId));
  }
  private indexOf(changeId: string): number {
    const marked = `"changeId":${JSON.stringify(changeId)}`;
    return 1 + this.committed.findIndex(({ command }) => command.includes(marked));
  }

  /** At this very instant: who could answer a read, and with what. Cheap, for every few milliseconds. */
  leases(running: Replica[]): void {
    const holders = running.filter(({ group }) => group.hasLeaderLease());
    if (holders.length > 1)
      this.broken(
        "one-leaseholder",
        `${holders.map(({ id, group }) => `${id} (term ${group.inspect().term})`).join(" and ")} hold the lease at once`,
      );
    for (const { id, group } of holders)
      if (group.lastApplied < this.acknowledgedIndex)
        this.broken(
          "lease-read-current",
          `${id} holds the lease at ${group.lastApplied}, index ${this.acknowledgedIndex} is acknowledged`,
        );
    for (const { id, group } of running) {
      const before = this.commitOf.get(group) ?? 0;
      if (group.commitIndex < before)
        this.broken("commit-never-falls", `${id} fell from ${before} to ${group.commitIndex}`);
      this.commitOf.set(group, group.commitIndex);
    }
  }

  /** All logs against each other and against what was committed. */
  logs(running: Replica[]): void {
    for (const { id, group } of running) {
      const { entries } = group.inspect();
      const pending = entries.filter(({ index, command }) => index > this.committedIndex && command.tag === "voters");
      if (pending.length > 1)
        this.broken(
          "one-uncommitted-voter-change",
          `${id} has ${pending.map(({ index, term }) => `index ${index} of term ${term}`).join(" and ")}, committed is ${this.committedIndex}`,
        );
      for (const [at, entry] of entries.entries()) {
        const before = entries[at - 1];
        if (!before) continue;
        if (entry.index !== before.index + 1)
          this.broken("logs-match", `${id} has index ${entry.index} after ${before.index}`);
        this.match(id, entry, before.term);
      }
    }
  }
  private match(id: string, entry: Entry, termBefore: number): void {
    if (this.checkedEntries.get(entry) === termBefore) return;
    this.checkedEntries.set(entry, termBefore);
    const key = `${entry.index} of term ${entry.term}`;
    const content = `after term ${termBefore}: ${JSON.stringify(entry.command)}`;
    const known = this.seenEntries.get(key);
    if (known !== undefined && known !== content)
      this.broken("logs-match", `index ${key} is ${content} at ${id}, elsewhere ${known}`);
    this.seenEntries.set(key, content);
  }

  /** Whether all replicas have applied everything that was ever committed. */
  converged(running: Replica[]): boolean {
    return running.every(({ group }) => group.lastApplied === this.committedIndex);
  }
  /** What the end of a walk has to show, after everything was healed. */
  atEnd(running: Replica[], hasLeader: boolean): void {
    if (!hasLeader)
      return this.broken(
        "lead-after-heal",
        `nobody holds the lease, or no change goes through: ${Invariants.places(running)}`,
      );
    if (!this.converged(running))
      return this.broken("converged-after-heal", `committed is ${this.committedIndex}: ${Invariants.places(running)}`);
    for (const [changeId, { outcome }] of this.acknowledged)
      for (const { id, group } of running)
        if (JSON.stringify(group.state.changes[changeId]) !== JSON.stringify(outcome))
          this.broken("acknowledged-stays", `${id} does not have ${changeId} as ${JSON.stringify(outcome)}`);
  }
  private static places(running: Replica[]): string {
    return running
      .map(
        ({ id, group }) =>
          `${id} ${group.role} term ${group.inspect().term} applied ${group.lastApplied} voters ${group.voters().join(",")}`,
      )
      .join("; ");
  }
  /** A task of a replica has ended with an error. */
  taskError(detail: string): void {
    this.broken("no-task-error", detail);
  }
}
