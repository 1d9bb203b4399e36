import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { ConsensusGroup } from "../consensus/consensusGroup";
import type { Command, Outcome } from "../controlState/command";
import { Node } from "../node/node";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { VoterManager } from "./voterManager";

/** The response to an operator whose change was accepted. */
export interface AcceptedChange {
  /** Version of the document or calendar entry, or the log index if the change has no version. */
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
   * Proposes a change, or returns the recorded outcome if one exists for the change id. Faults: "conflict" (the current
   * version is another one), "invalid" (rejected), "busy" (try again), "unknown" (the change may still be accepted).
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
    const proposedAt = this.env.monotonicMs();
    const outcome = known ? Fault.ok(known) : yield* this.group.propose(command, Constants.proposeTimeoutMs);
    if (outcome.ok) return this.toResponse(command, outcome.value, proposedAt);
    // A replaced log entry is no rejection: the same order may be in the log under another index.
    if (outcome.fault.tag === "conflict")
      return Fault.fail("unknown", "change", this.node.self.id, outcome.fault.detail);
    return outcome;
  }

  /** Stamps an order with the leader's time, so that one clock measures the age of all orders. */
  private withLeaderTime(command: Command): Command {
    return command.tag === "drain" || command.tag === "undrain" ? { ...command, at: this.env.wallClockMs() } : command;
  }

  /** Logs an accepted change with the log index up to which the control snapshot contains it. */
  private logAccepted({ tag }: Command, version: number, proposedAt: number): void {
    const { term } = this.group.inspect();
    const index = this.group.state.frameIndex ?? this.group.lastApplied;
    this.env.log(1306, { tag, version, index, term, afterMs: Math.round(this.env.monotonicMs() - proposedAt) });
  }

  private toResponse(command: Command, outcome: Outcome, proposedAt: number): Result<AcceptedChange> {
    const { id } = this.node.self;
    switch (outcome.tag) {
      case "done":
        this.logAccepted(command, outcome.version, proposedAt);
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
