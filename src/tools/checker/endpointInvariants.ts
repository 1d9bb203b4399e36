/** Invariants of the requests sent to endpoints: none after a deregistration or drain, few after a start. */

import { Invariant, runsOf, TOLERANCE_MS } from "./invariant";

/** Time after the acknowledgement of a deregistration during which requests may still arrive, ms. */
const DEREGISTERED_MS = 2000;
/** Time after the acknowledgement of a drain during which requests may still arrive, ms. */
const DRAINED_MS = 5000;
/** Time after the start of an endpoint in which it may get no more requests than its capacity, ms. */
const SLOW_START_MS = 1000;

export const deregisteredRespected: Invariant = {
  name: "goodbye-respected",
  requirement: "A replica that has said goodbye gets no new work after about two seconds",
  check: (history, endpoints) => {
    const deregisteredAt = new Map(history.of("goodbye").map(({ replica, at }) => [replica, at]));
    const startedAt = new Map(history.of("replicaStarted").map(({ replica, at }) => [replica, at]));
    const violations: string[] = [];
    for (const { id, at, replica } of runsOf(endpoints)) {
      const deregistered = deregisteredAt.get(replica) ?? Infinity;
      const restarted = startedAt.get(replica) ?? -1;
      const hasReturned = restarted > deregistered && at >= restarted;
      if (at > deregistered + DEREGISTERED_MS + TOLERANCE_MS && !hasReturned)
        violations.push(`endpoint ${replica} got ${id} ${(at - deregistered).toFixed(0)} ms after its deregistration`);
    }
    return violations;
  },
};

export const drainRespected: Invariant = {
  name: "drain-respected",
  requirement: "A drained zone gets none after about five",
  check: (history, endpoints) => {
    const runs = runsOf(endpoints);
    return history.of("drained").flatMap((drain) => {
      const end = history.of("undrained").find(({ district, at }) => district === drain.district && at > drain.at);
      const from = drain.at + DRAINED_MS + TOLERANCE_MS;
      const to = end?.at ?? Infinity;
      return runs
        .filter(({ district, at }) => district === drain.district && at > from && at < to)
        .map(
          ({ replica, district, id, at }) =>
            `endpoint ${replica} in the drained zone ${district} got ${id} after ${(at - drain.at).toFixed(0)} ms`,
        );
    });
  },
};

export const slowStartRespected: Invariant = {
  name: "not-flooded",
  requirement: "A replica that has just started is not flooded",
  check: (history, endpoints, { settledAt = 0 }) => {
    const runs = runsOf(endpoints);
    const violations: string[] = [];
    for (const { replica, at: startedAt, capacity } of history.of("replicaStarted")) {
      if (startedAt <= settledAt) continue;
      const early = runs.filter(
        (run) => run.replica === replica && run.at >= startedAt && run.at < startedAt + SLOW_START_MS,
      );
      if (early.length > capacity)
        violations.push(
          `endpoint ${replica} got ${early.length} requests in its first second, but its capacity is ${capacity}`,
        );
    }
    return violations;
  },
};
