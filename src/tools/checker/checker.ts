import { History } from "../history";
import { plannedOperationsDropNothing, serviceReturns } from "./availabilityInvariants";
import { cancelledJobStops, jobDurable, jobReadable, fixedPosition } from "./batchJobInvariants";
import {
  configurationKeptAtRunEnd,
  configurationInForce,
  configurationNeverRolledBack,
  rejectedNeverInForce,
} from "./configurationInvariants";
import { deregisteredRespected, drainRespected, slowStartRespected } from "./endpointInvariants";
import { CheckOptions, Invariant, ObservedEndpoint, Violation } from "./invariant";
import { acknowledgedOnEveryMember, oneLedgerOrder } from "./replicationInvariants";
import {
  busyMeansNotRun,
  cutLooksCut,
  neverRunsTwice,
  noFalseSuccess,
  rightCaller,
  streamExact,
} from "./responseInvariants";

export type { CheckOptions, ObservedEndpoint, Violation } from "./invariant";

/** All invariants, in the order of docs/invariants.md. Violations are reported in this order. */
const INVARIANTS: readonly Invariant[] = [
  rightCaller,
  noFalseSuccess,
  neverRunsTwice,
  busyMeansNotRun,
  streamExact,
  cutLooksCut,
  jobDurable,
  acknowledgedOnEveryMember,
  jobReadable,
  fixedPosition,
  cancelledJobStops,
  deregisteredRespected,
  drainRespected,
  configurationInForce,
  configurationNeverRolledBack,
  configurationKeptAtRunEnd,
  rejectedNeverInForce,
  slowStartRespected,
  plannedOperationsDropNothing,
  serviceReturns,
  oneLedgerOrder,
];

/**
 * Checks all invariants over the history of a run and the runs that its endpoints recorded.
 *
 * @example
 * const violations = Checker.check(history, endpoints, { settledAt });
 */
export const Checker = {
  names: INVARIANTS.map(({ name }) => name),
  /** Returns all violations, in the order of the invariants. */
  check(history: History, endpoints: ObservedEndpoint[], options: CheckOptions = {}): Violation[] {
    return INVARIANTS.flatMap(({ name, check }) =>
      check(history, endpoints, options).map((detail) => ({ invariant: name, detail })),
    );
  },
  /** Returns the number of observations by tag, and the number of runs of all endpoints as `runs`. */
  observationCounts(history: History, endpoints: ObservedEndpoint[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { tag } of history.observations) counts[tag] = (counts[tag] ?? 0) + 1;
    counts.runs = endpoints.reduce((sum, { runs }) => sum + runs.length, 0);
    return counts;
  },
};
