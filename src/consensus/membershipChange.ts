import { Command } from "../controlState/command";
import { ReplicatedLog } from "./log";

/** What the group checks before a change of its voters enters the log. */
export const MembershipChange = {
  /**
   * Why a command may not be appended now. Of membership entries at most one is uncommitted, and each differs from the
   * one before by one voter: any majority of the one meets any majority of the other. A new lead is asked for this only
   * once an entry of its own term is applied, so that a membership entry of an earlier term is committed by then.
   * @example const refusal = MembershipChange.refusal(command, log, commit);
   */
  refusal(command: Command, log: ReplicatedLog, commit: number): string | undefined {
    if (command.tag === "found") return "a group is founded once";
    if (command.tag !== "voters") return undefined;
    const uncommitted = log.entries.some(
      (entry) => entry.index > commit && (entry.command.tag === "voters" || entry.command.tag === "found"),
    );
    if (uncommitted) return "a change of the voters is not committed yet";
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
