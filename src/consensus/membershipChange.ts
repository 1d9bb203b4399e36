import { Command } from "../controlState/command";
import { votersSetBy } from "./membershipCommand";
import { ReplicatedLog } from "./replicatedLog";

/** Reasons for which a command is rejected. The texts are sent as fault details. */
export const MembershipRejection = {
  alreadyBootstrapped: "a group is founded once",
  changePending: "a change of the voters is not committed yet",
  duplicateVoter: "a voter is named twice",
  noVoterLeft: "no voter would be left",
  moreThanOneChanged: "voters change by one at a time",
} as const;
export type MembershipRejection = (typeof MembershipRejection)[keyof typeof MembershipRejection];

/**
 * Rules for single-server membership changes, which are replicated through the log (Ongaro's thesis, chapter 4). A
 * server uses the newest membership in its log, committed or not.
 */
export const MembershipChange = {
  /**
   * Returns the reason to reject a command; undefined if it may be appended. At most one membership entry may be
   * uncommitted, and each must differ from the previous one by exactly one voter, so that any majority of one overlaps
   * any majority of the other. The caller must already have applied an entry of its own term as leader, so that any
   * membership entry of an earlier term is committed (Ongaro, "bug in single-server membership changes", raft-dev,
   * 2015).
   */
  rejectionReason(command: Command, log: ReplicatedLog, commitIndex: number): MembershipRejection | undefined {
    if (command.tag === "found") return MembershipRejection.alreadyBootstrapped;
    if (command.tag !== "voters") return undefined;
    const isUncommitted = log.entries.some(
      (entry) => entry.index > commitIndex && votersSetBy(entry.command) !== undefined,
    );
    if (isUncommitted) return MembershipRejection.changePending;
    const current = new Set(log.voters());
    const next = new Set(command.voters);
    if (next.size !== command.voters.length) return MembershipRejection.duplicateVoter;
    if (next.size === 0) return MembershipRejection.noVoterLeft;
    const added = command.voters.filter((id) => !current.has(id));
    const removed = [...current].filter((id) => !next.has(id));
    if (added.length + removed.length !== 1) return MembershipRejection.moreThanOneChanged;
    return undefined;
  },
};
