import { Command } from "../controlState/command";
import { votersSetBy } from "./membershipCommand";
import { ReplicatedLog } from "./replicatedLog";

/** Why a command may not be appended now. The texts are fault details. */
export const MembershipRejection = {
  alreadyBootstrapped: "a group is founded once",
  changePending: "a change of the voters is not committed yet",
  duplicateVoter: "a voter is named twice",
  noVoterLeft: "no voter would be left",
  moreThanOneChanged: "voters change by one at a time",
} as const;
export type MembershipRejection = (typeof MembershipRejection)[keyof typeof MembershipRejection];

/**
 * Changes of the voters, by one server at a time and through the log itself: Ongaro's thesis, chapter 4. A server uses
 * the newest membership in its log, committed or not.
 */
export const MembershipChange = {
  /**
   * Why a command may not be appended now; undefined if it may. Of membership entries at most one is uncommitted, and
   * each differs from the one before by one voter: any majority of the one meets any majority of the other. A new leader
   * is asked for this only once an entry of its own term is applied, so that a membership entry of an earlier term is
   * committed by then (Ongaro, "bug in single-server membership changes", raft-dev, 2015).
   *
   * @example const refusal = MembershipChange.refusal(command, log, commitIndex);
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
