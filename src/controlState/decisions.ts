import { Constants } from "../common/constants";
import type { Change, Outcome } from "./command";
import type { ControlState } from "./controlState";

/** Queues a decision for the ledger. */
export function recordDecision(
  state: ControlState,
  index: number,
  subject: string,
  decision: string,
  cause: string,
): void {
  state.untold.push({ index, subject, decision, cause });
}

/**
 * Records the outcome of a change by its id, so that a retry gets the same one, and queues the decision for the ledger.
 */
export function recordOutcome(
  state: ControlState,
  index: number,
  change: Change,
  subject: string,
  outcome: Outcome,
  decision: string,
): Outcome {
  state.changes[change.changeId] = outcome;
  state.changeOrder.push(change.changeId);
  while (state.changeOrder.length > Constants.changeOutcomesRetained) delete state.changes[state.changeOrder.shift()!];
  recordDecision(state, index, subject, decision, `change ${change.changeId} by ${change.by}`);
  return outcome;
}
