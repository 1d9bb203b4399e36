import { Command } from "../controlState/command";
import { votersSetBy } from "./membershipCommand";
import { ReplicatedLog } from "./replicatedLog";

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
  refusal(command: Command, log: ReplicatedLog, commitIndex: number): string | undefined {
    if (command.tag === "found") return "a group is founded once";
    if (command.tag !== "voters") return undefined;
    const isUncommitted = log.entries.some(
      (entry) => entry.index > commitIndex && votersSetBy(entry.command) !== undefined,
    );
    if (isUncommitted) return "a change of the voters is not committed yet";
    const current = new Set(log.voters());
    const next = new Set(command.voters);
    if (next.size !== command.voters.length) return "a voter is named twice";
    if (next.size === 0) return "no voter would be left";
    const added = command.voters.filter((id) => !current.has(id));
    const removed = [...current].filter((id) => !next.has(id));
    if (added.length + removed.length !== 1) return "voters change by one at a time";
    return undefined;
  },
};
