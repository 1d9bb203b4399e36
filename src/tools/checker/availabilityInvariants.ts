/** Invariants of availability: planned operations drop no request, and service is restored after faults. */

import { History, ObservationOf } from "../history";
import { Invariant, RECOVERY_MS } from "./invariant";

/** Time allowed after a process has restarted or a link has healed, ms, since either can move shards in turn. */
const RESTORED_MS = 4000;
/** Time by which the acceptance of a batch job may exceed the time allowed for recovery, ms. */
const ACCEPTANCE_TOLERANCE_MS = 1500;
/** Longest interval between two served calls that does not count as an interruption, by kind, ms. */
const MAX_GAP_MS = { lookup: 2500, stream: 3000, lot: 5000 } as const;
type ServedKind = keyof typeof MAX_GAP_MS;
const SERVED_KINDS = Object.keys(MAX_GAP_MS) as ServedKind[];

export const plannedOperationsDropNothing: Invariant = {
  name: "planned-moves-answer",
  requirement: "Work in flight during a planned move is not dropped unanswered",
  check: (history, _endpoints, { plannedOnly }) => [
    ...history
      .of("stopped")
      .filter(({ unanswered }) => unanswered > 0)
      .map(({ process, unanswered }) => `${process} stopped with ${unanswered} requests without a response`),
    ...(plannedOnly ? history.of("failed") : []).map(
      ({ kind, requestId, code, detail }) =>
        `${kind} ${requestId} failed during a planned operation (${code}: ${detail})`,
    ),
  ],
};

/** Returns the requests that failed although they were sent after the time allowed for recovery from all faults. */
function lateFailures(history: History): string[] {
  const faults = history.of("fault");
  if (faults.length === 0) return [];
  const recoveredAt = Math.max(
    ...faults.map(({ at }) => at + RECOVERY_MS),
    ...history.of("restored").map(({ at }) => at + RESTORED_MS),
  );
  return history
    .of("failed")
    .filter(({ at, tookMs }) => at - tookMs > recoveredAt)
    .map(
      ({ kind, requestId, code, detail, at }) =>
        `${kind} ${requestId} still failed (${code}: ${detail}) ${(at - recoveredAt).toFixed(0)} ms after service should have been restored`,
    );
}
/** Returns the batch jobs that were submitted after the first fault and accepted too late. */
function lateAcceptances(history: History): string[] {
  const firstFaultAt = Math.min(Infinity, ...history.of("fault").map(({ at }) => at));
  return history
    .of("lotAccepted")
    .filter(({ at, tookMs }) => at - tookMs >= firstFaultAt && tookMs > RECOVERY_MS + ACCEPTANCE_TOLERANCE_MS)
    .map(({ lot: job, tookMs }) => `batch job ${job} was accepted only after ${tookMs.toFixed(0)} ms`);
}
/** Returns the first interruption that lasted beyond the time allowed for recovery from a fault, or none. */
function interruption(history: History, fault: ObservationOf<"fault">, kind: ServedKind, endAt: number): string[] {
  const recoveredBy = fault.at + RECOVERY_MS;
  const maxGapMs = MAX_GAP_MS[kind];
  if (endAt < recoveredBy + maxGapMs) return [];
  const times = history
    .of("served")
    .filter((served) => served.kind === kind && served.at > fault.at)
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  let previous = fault.at;
  for (const time of [...times, endAt]) {
    if (previous > recoveredBy) return [];
    if (time - previous > maxGapMs && time > recoveredBy) {
      const [from, to] = [previous - fault.at, time - fault.at];
      return [`no ${kind} was served from ${from.toFixed(0)} to ${to.toFixed(0)} ms after ${fault.fault}`];
    }
    previous = time;
  }
  return [];
}

export const serviceReturns: Invariant = {
  name: "service-returns",
  requirement: "After a heavy fault, service returns within about twelve seconds",
  check: (history) => {
    const endAt = history.of("dayEnd")[0]?.at ?? Math.max(0, ...history.of("served").map(({ at }) => at));
    const interruptingFaults = history.of("fault").filter(({ heavy }) => heavy);
    return [
      ...lateFailures(history),
      ...lateAcceptances(history),
      ...interruptingFaults.flatMap((fault) =>
        SERVED_KINDS.flatMap((kind) => interruption(history, fault, kind, endAt)),
      ),
    ];
  },
};
