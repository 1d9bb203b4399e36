import type { Invariants } from "./invariants";
import type { Machine } from "./machine";

/**
 * Which disks a walk may empty: of every set of voters that may decide, a majority must have disks that were never
 * emptied. Beyond that no consensus group can keep what it acknowledged.
 */
export class DiskLossLimit {
  private readonly wipedIds = new Set<string>();

  constructor(
    private readonly machines: readonly Machine[],
    private readonly invariants: Invariants,
  ) {}

  /** Notes that the disk of a replica was emptied. */
  addWiped(id: string): void {
    this.wipedIds.add(id);
  }
  isWiped(id: string): boolean {
    return this.wipedIds.has(id);
  }
  /** Whether the group survives the loss of one more disk. */
  canLose(id: string): boolean {
    const lost = new Set([...this.wipedIds, id]);
    return this.votersThatMayDecide().every((voters) => DiskLossLimit.hasMajority(voters, lost));
  }
  /** Whether these voters, as they are now, have a majority of disks that were never emptied. */
  allows(voters: string[]): boolean {
    return DiskLossLimit.hasMajority(voters, this.wipedIds);
  }

  /** The newest committed voters, and every later set in any log. */
  private votersThatMayDecide(): string[][] {
    const uncommitted = this.machines.flatMap((machine) =>
      machine.incarnation.group
        .inspect()
        .entries.flatMap(({ index, command }) =>
          index > this.invariants.committedIndex && command.tag === "voters" ? [command.voters] : [],
        ),
    );
    return [this.invariants.voters, ...uncommitted];
  }
  private static hasMajority(voters: string[], lost: ReadonlySet<string>): boolean {
    const lostVoters = voters.filter((id) => lost.has(id)).length;
    return lostVoters <= Math.floor((voters.length - 1) / 2);
  }
}
