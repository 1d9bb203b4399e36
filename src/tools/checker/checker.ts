import { History } from "../history";
import { plannedOperationsAnswer, serviceReturns } from "./availabilityInvariants";
import { cancelledStops, jobDurable, jobReadable, onePosition } from "./batchJobInvariants";
import {
  configurationAtDayEnd,
  configurationInForce,
  configurationNeverBack,
  refusedNeverInForce,
} from "./configurationInvariants";
import { deregisteredRespected, drainRespected, slowStartRespected } from "./endpointInvariants";
import { CheckOptions, Invariant, ObservedEndpoint, Violation } from "./invariant";
import { acknowledgedOnEveryMember, oneLedgerOrder } from "./replicationInvariants";
import { busyNeverRan, neverTwice, noFalseSuccess, rightCaller, streamExact } from "./responseInvariants";

export type { CheckOptions, ObservedEndpoint, Violation } from "./invariant";

/** All invariants, in the order of docs/invariants.md, in which violations are reported. */
const invariants: readonly Invariant[] = [
  rightCaller,
  noFalseSuccess,
  neverTwice,
  busyNeverRan,
  streamExact,
  jobDurable,
  acknowledgedOnEveryMember,
  jobReadable,
  onePosition,
  cancelledStops,
  deregisteredRespected,
  drainRespected,
  configurationInForce,
  configurationNeverBack,
  configurationAtDayEnd,
  refusedNeverInForce,
  slowStartRespected,
  plannedOperationsAnswer,
  serviceReturns,
  oneLedgerOrder,
];

/**
 * The checker: each sentence on what must never happen, as a named invariant over a history.
 *
 * @example
 * const violations = Checker.check(history, endpoints, { settledAt });
 */
export const Checker = {
  names: invariants.map(({ name }) => name),
  /** All violations, by invariant. @example Checker.check(history, endpoints) */
  check(history: History, endpoints: ObservedEndpoint[], options: CheckOptions = {}): Violation[] {
    return invariants.flatMap(({ name, check }) =>
      check(history, endpoints, options).map((detail) => ({ invariant: name, detail })),
    );
  },
  /** How many observations of each kind, and how many runs, there were to judge. @example Checker.judged(history, endpoints) */
  observationCounts(history: History, endpoints: ObservedEndpoint[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { tag } of history.observations) counts[tag] = (counts[tag] ?? 0) + 1;
    counts.runs = endpoints.reduce((sum, { runs }) => sum + runs.length, 0);
    return counts;
  },
};
