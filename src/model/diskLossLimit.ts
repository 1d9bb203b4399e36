import type { Invariants } from "./invariants";
import type { Machine } from "./machine";

/**
 * Decides which disks a walk may wipe. Of every membership that may form a quorum, a majority of voters must have disks
 * that were never wiped. If more disks are lost, no consensus group can preserve the changes that it acknowledged.
 */
export class DiskLossLimit {
  private readonly wipedIds = new Set<string>();

  constructor(
    private readonly machines: readonly Machine[],
    private readonly invariants: Invariants,
  ) {}

  /** Records that the disk of a replica was wiped. */
  addWiped(id: string): void {
    this.wipedIds.add(id);
  }
  isWiped(id: string): boolean {
    return this.wipedIds.has(id);
  }
  /** Whether the group survives the loss of one more disk. */
  canLose(id: string): boolean {
    const lost = new Set([...this.wipedIds, id]);
    return this.possibleMemberships().every((voters) => DiskLossLimit.hasMajority(voters, lost));
  }
  /** Whether a majority of these voters have disks that were never wiped. */
  allows(voters: string[]): boolean {
    return DiskLossLimit.hasMajority(voters, this.wipedIds);
  }

  /** Returns the newest committed membership, and every uncommitted membership in any log. */
  private possibleMemberships(): string[][] {
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
