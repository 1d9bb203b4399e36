/** Names of the invariants, as a failing walk prints them. The first four are from the Raft paper, figure 3. */
export type InvariantName =
  | "election-safety"
  | "log-matching"
  | "leader-completeness"
  | "state-machine-safety"
  | "one-lease-holder"
  | "acknowledged-durable"
  | "one-change-per-version"
  | "outcome-repeatable"
  | "lease-read-current"
  | "one-pending-voter-change"
  | "commit-index-monotonic"
  | "leader-after-heal"
  | "converged-after-heal"
  | "no-task-error";

/** A violated invariant. It ends the walk. */
export class Violation extends Error {
  constructor(
    readonly invariant: InvariantName,
    readonly detail: string,
  ) {
    super(`${invariant}: ${detail}`);
  }
}
