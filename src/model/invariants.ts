import type { ConsensusGroup, ConsensusGroupInspection } from "../consensus/consensusGroup";
import { Outcome } from "../controlState/command";
import { ControlState } from "../controlState/controlState";
import { ReferenceModel } from "./referenceModel";
import { InvariantName, Violation } from "./violation";

type LogEntry = ConsensusGroupInspection["entries"][number];

/** One running replica. */
export interface RunningReplica {
  id: string;
  group: ConsensusGroup;
}

/** A committed entry, with its command as JSON. */
interface CommittedEntry {
  term: number;
  command: string;
}

/**
 * Checks the invariants of the group over a whole walk. It records all elections, committed entries and acknowledged
 * changes, and compares later events with them.
 */
export class Invariants {
  /** The first violation. It is not thrown where it is detected, because that may be inside code of a replica. */
  violation: Violation | undefined;
  readonly reference = new ReferenceModel();
  /** Committed entries, starting with index 1. */
  private readonly committed: CommittedEntry[] = [];
  /** Digest of the reference model after each index, starting with index 0. */
  private readonly digests: string[] = [this.reference.digest()];
  /** Committed voters after each index, starting with index 0. */
  private readonly committedVoters: string[][] = [[]];
  private readonly leaderOfTerm = new Map<number, string>();
  /**
   * Content and preceding term of each entry ever seen, by index and term. Logs with the same entry must match up to
   * it.
   */
  private readonly seenEntries = new Map<string, string>();
  /** Entries that have been compared already, with the term of the preceding entry. */
  private readonly checkedEntries = new WeakMap<LogEntry, number>();
  private readonly commitIndexes = new WeakMap<ConsensusGroup, number>();
  /** Outcomes of acknowledged changes by change id. */
  private readonly acknowledged = new Map<string, Outcome>();
  /** Id of the acknowledged change that wrote each version of a document. */
  private readonly changeOfVersion = new Map<string, string>();
  /** Highest index of an acknowledged change. */
  private acknowledgedIndex = 0;

  private violate(invariant: InvariantName, detail: string): void {
    this.violation ??= new Violation(invariant, detail);
  }

  /** Highest index that any replica has ever applied as committed. */
  get committedIndex(): number {
    return this.committed.length;
  }
  /** The voters as of the highest committed index. */
  get voters(): string[] {
    return this.committedVoters[this.committedIndex];
  }
  get acknowledgedChanges(): string[] {
    return [...this.acknowledged.keys()];
  }

  // ---------- events ----------

  /** Records that a replica won an election. */
  onElected(id: string, term: number): void {
    const known = this.leaderOfTerm.get(term);
    if (known !== undefined && known !== id)
      this.violate("election-safety", `${known} and ${id} both lead term ${term}`);
    this.leaderOfTerm.set(term, id);
  }

  /** Records that a replica has applied its log up to an index. */
  onApplied(replica: RunningReplica, state: ControlState, index: number): void {
    const { entries } = replica.group.inspect();
    for (const entry of entries) {
      if (entry.index > index) break;
      this.addCommitted(replica.id, entry);
    }
    this.compareState(replica.id, state, index);
  }
  /** Compares the state of a replica that has applied entries or opened its disk with the reference model. */
  compareState(id: string, state: ControlState, index: number): void {
    const expected = this.digests[index];
    if (expected === undefined)
      return this.violate("leader-completeness", `${id} applied ${index}, which was never committed`);
    const actual = ReferenceModel.digestOf(state);
    if (actual !== expected)
      this.violate("state-machine-safety", `${id} at index ${index} has ${actual}, expected ${expected}`);
  }
  private addCommitted(id: string, entry: LogEntry): void {
    const known = this.committed[entry.index - 1];
    if (known) {
      if (known.term === entry.term) return;
      const detail = `index ${entry.index} was committed as term ${known.term} ${known.command}`;
      return this.violate("leader-completeness", `${detail}, and is term ${entry.term} at ${id}`);
    }
    if (entry.index !== this.committedIndex + 1) return;
    this.committed.push({ term: entry.term, command: JSON.stringify(entry.command) });
    this.reference.apply(entry.command);
    this.digests.push(this.reference.digest());
    const voters = "voters" in entry.command ? entry.command.voters : this.committedVoters[entry.index - 1];
    this.committedVoters.push(voters);
  }

  /** Records that a caller received the outcome of its change. */
  onOutcome(id: string, document: string, changeId: string, outcome: Outcome): void {
    const text = JSON.stringify(outcome);
    const earlier = JSON.stringify(this.acknowledged.get(changeId));
    if (earlier !== undefined && earlier !== text)
      return this.violate(
        "outcome-repeatable",
        `${changeId} was acknowledged with ${earlier} and then with ${text} by ${id}`,
      );
    if (outcome.tag !== "done") return;
    const version = `${document} ${outcome.version}`;
    const other = this.changeOfVersion.get(version);
    if (other !== undefined && other !== changeId)
      this.violate("one-change-per-version", `${other} and ${changeId} are both acknowledged as ${version}`);
    this.changeOfVersion.set(version, changeId);
    const committed = JSON.stringify(this.reference.outcomes.get(changeId));
    if (committed !== text)
      this.violate("acknowledged-durable", `${changeId} was acknowledged with ${text}, committed is ${committed}`);
    this.acknowledged.set(changeId, outcome);
    this.acknowledgedIndex = Math.max(this.acknowledgedIndex, this.indexOfChange(changeId));
  }
  private indexOfChange(changeId: string): number {
    const property = `"changeId":${JSON.stringify(changeId)}`;
    return 1 + this.committed.findIndex(({ command }) => command.includes(property));
  }

  /** Records that a task of a replica has ended with an error. */
  onTaskError(detail: string): void {
    this.violate("no-task-error", detail);
  }

  // ---------- checks at any time ----------

  /**
   * Checks that at most one replica holds the lease, that it has applied all acknowledged changes, and that no commit
   * index has decreased. Cheap enough to run every few milliseconds.
   */
  checkLeases(running: RunningReplica[]): void {
    const holders = running.filter(({ group }) => group.hasLeaderLease());
    if (holders.length > 1) {
      const names = holders.map(({ id, group }) => `${id} (term ${group.inspect().term})`);
      this.violate("one-lease-holder", `${names.join(" and ")} hold the lease at once`);
    }
    for (const { id, group } of holders)
      if (group.lastApplied < this.acknowledgedIndex)
        this.violate(
          "lease-read-current",
          `${id} holds the lease at ${group.lastApplied}, index ${this.acknowledgedIndex} is acknowledged`,
        );
    for (const replica of running) this.checkCommitIndex(replica);
  }
  private checkCommitIndex({ id, group }: RunningReplica): void {
    const before = this.commitIndexes.get(group) ?? 0;
    if (group.commitIndex < before)
      this.violate("commit-index-monotonic", `${id} fell from ${before} to ${group.commitIndex}`);
    this.commitIndexes.set(group, group.commitIndex);
  }

  /** Compares all logs with each other, and checks that each has at most one uncommitted membership change. */
  checkLogs(running: RunningReplica[]): void {
    for (const { id, group } of running) {
      const { entries } = group.inspect();
      this.checkPendingVoterChanges(id, entries);
      for (const [position, entry] of entries.entries()) {
        const previous = entries[position - 1];
        if (!previous) continue;
        if (entry.index !== previous.index + 1)
          this.violate("log-matching", `${id} has index ${entry.index} after ${previous.index}`);
        this.compareEntry(id, entry, previous.term);
      }
    }
  }
  private checkPendingVoterChanges(id: string, entries: readonly LogEntry[]): void {
    const pending = entries.filter(({ index, command }) => index > this.committedIndex && command.tag === "voters");
    if (pending.length <= 1) return;
    const positions = pending.map(({ index, term }) => `index ${index} of term ${term}`);
    this.violate(
      "one-pending-voter-change",
      `${id} has ${positions.join(" and ")}, committed is ${this.committedIndex}`,
    );
  }
  private compareEntry(id: string, entry: LogEntry, previousTerm: number): void {
    if (this.checkedEntries.get(entry) === previousTerm) return;
    this.checkedEntries.set(entry, previousTerm);
    const key = `${entry.index} of term ${entry.term}`;
    const content = `after term ${previousTerm}: ${JSON.stringify(entry.command)}`;
    const known = this.seenEntries.get(key);
    if (known !== undefined && known !== content)
      this.violate("log-matching", `index ${key} is ${content} at ${id}, elsewhere ${known}`);
    this.seenEntries.set(key, content);
  }

  // ---------- checks at the end ----------

  /** Whether all replicas have applied everything that was ever committed. */
  hasConverged(running: RunningReplica[]): boolean {
    return running.every(({ group }) => group.lastApplied === this.committedIndex);
  }
  /** Checks the invariants that must hold at the end of a walk, after all faults have ended. */
  checkEnd(running: RunningReplica[], hasLeader: boolean): void {
    if (!hasLeader)
      return this.violate(
        "leader-after-heal",
        `no replica holds the lease, or no change is acknowledged: ${Invariants.describe(running)}`,
      );
    if (!this.hasConverged(running))
      return this.violate(
        "converged-after-heal",
        `committed is ${this.committedIndex}: ${Invariants.describe(running)}`,
      );
    for (const [changeId, outcome] of this.acknowledged)
      for (const { id, group } of running)
        if (JSON.stringify(group.state.changes[changeId]) !== JSON.stringify(outcome))
          this.violate("acknowledged-durable", `${id} does not have ${changeId} as ${JSON.stringify(outcome)}`);
  }
  private static describe(running: RunningReplica[]): string {
    const lines = running.map(({ id, group }) => {
      const { term } = group.inspect();
      return `${id} ${group.role} term ${term} applied ${group.lastApplied} voters ${group.voters().join(",")}`;
    });
    return lines.join("; ");
  }
}
