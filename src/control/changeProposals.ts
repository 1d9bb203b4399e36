import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { Command, Outcome } from "../controlState/command";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { VoterManager } from "./voterManager";

/** What an operator gets for an accepted change. */
export interface AcceptedChange {
  /** Version of the document or calendar entry; the log index where there is none. */
  version: number;
}

/** Proposes operators' changes to the consensus group, and turns outcomes into responses. */
export class ChangeProposals {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly group: ConsensusGroup,
    private readonly voterManager: VoterManager,
  ) {}

  /**
   * Proposes a change, or gives the outcome again that its id already has. Faults: "conflict" (another version),
   * "invalid" (rejected), "busy" (try again), "unknown" (it may still be accepted).
   * @example const accepted = yield* proposals.propose(command);
   */
  *propose(received: Command): Task<Result<AcceptedChange>> {
    const command = this.withLeaderTime(received);
    const known = "changeId" in command ? this.group.state.changes[command.changeId] : undefined;
    if (!known && this.voterManager.isGrowing())
      return Fault.busy(
        "change",
        this.node.self.id,
        "the control group has not all its voters yet",
        Constants.retryAfterMs,
      );
    const outcome = known ? Fault.ok(known) : yield* this.group.propose(command, Constants.proposeTimeoutMs);
    if (outcome.ok) return this.response(command, outcome.value);
    // an entry that was replaced rejects nothing: the same order may stand in the log under another index
    if (outcome.fault.tag === "conflict")
      return Fault.fail("unknown", "change", this.node.self.id, outcome.fault.detail);
    return outcome;
  }

  /** The age of an order is measured by one clock, the leader's. */
  private withLeaderTime(command: Command): Command {
    return command.tag === "drain" || command.tag === "undrain" ? { ...command, at: this.env.wallClockMs() } : command;
  }

  private response(command: Command, outcome: Outcome): Result<AcceptedChange> {
    const { id } = this.node.self;
    switch (outcome.tag) {
      case "done":
        this.env.log(1306, { tag: command.tag, version: outcome.version });
        return Fault.ok({ version: outcome.version });
      case "conflict":
        return Fault.fail("conflict", "change", id, `current version is ${outcome.version}`);
      case "refused":
        return Fault.fail("invalid", "change", id, outcome.detail);
      case "undecided":
        return Fault.busy("change", id, outcome.detail, Constants.retryAfterMs);
    }
  }
}
