/** Invariants of availability: planned operations drop nothing, and service returns after faults. */

import { History, ObservationOf } from "../history";
import { Invariant, RECOVERY_MS } from "./invariant";

/** A process that comes back, or a link that heals, may itself move shards: time allowed for that, ms. */
const RESTORED_MS = 4000;
const ACCEPTANCE_TOLERANCE_MS = 1500;
/** Longest time without a served call that is no interruption, by kind, ms. */
const QUIET_GAP_MS = { lookup: 2500, stream: 3000, lot: 5000 } as const;
type ServedKind = keyof typeof QUIET_GAP_MS;
const servedKinds = Object.keys(QUIET_GAP_MS) as ServedKind[];

export const plannedOperationsDropNothing: Invariant = {
  name: "planned-moves-answer",
  requirement: "Work in flight during a planned move is not dropped unanswered",
  check: (history, _endpoints, { plannedOnly }) => [
    ...history
      .of("stopped")
      .filter(({ unanswered }) => unanswered > 0)
      .map(({ process, unanswered }) => `${process} stopped with ${unanswered} unanswered`),
    ...(plannedOnly ? history.of("failed") : []).map(
      ({ kind, requestId, code, detail }) => `${kind} ${requestId} got ${code} during a planned move: ${detail}`,
    ),
  ],
};

/** Requests that failed though they were sent after all faults were over. */
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
        `${kind} ${requestId} still failed (${code}: ${detail}) ${(at - recoveredAt).toFixed(0)} ms after service should have returned`,
    );
}
/** Batch jobs sent after the first fault that were accepted too late. */
function lateAcceptances(history: History): string[] {
  const firstFaultAt = Math.min(Infinity, ...history.of("fault").map(({ at }) => at));
  return history
    .of("lotAccepted")
    .filter(({ at, tookMs }) => at - tookMs >= firstFaultAt && tookMs > RECOVERY_MS + ACCEPTANCE_TOLERANCE_MS)
    .map(({ lot: job, tookMs }) => `lot ${job} was accepted only after ${tookMs.toFixed(0)} ms`);
}
/** The first interruption of a kind of call that lasted beyond the time allowed for recovery; at most one. */
function interruption(history: History, fault: ObservationOf<"fault">, kind: ServedKind, endAt: number): string[] {
  const recoveredBy = fault.at + RECOVERY_MS;
  const gapMs = QUIET_GAP_MS[kind];
  if (endAt < recoveredBy + gapMs) return [];
  const times = history
    .of("served")
    .filter((served) => served.kind === kind && served.at > fault.at)
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  let previous = fault.at;
  for (const time of [...times, endAt]) {
    if (previous > recoveredBy) return [];
    if (time - previous > gapMs && time > recoveredBy) {
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
    const heavyFaults = history.of("fault").filter(({ heavy }) => heavy);
    return [
      ...lateFailures(history),
      ...lateAcceptances(history),
      ...heavyFaults.flatMap((fault) => servedKinds.flatMap((kind) => interruption(history, fault, kind, endAt))),
    ];
  },
};
