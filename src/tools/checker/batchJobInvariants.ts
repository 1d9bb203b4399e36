/** Invariants of batch jobs: durability, visibility and order of the results, and early ends. */

import { Invariant, RECOVERY_MS, runsOf, TOLERANCE_MS } from "./invariant";

const READABLE_MS = 1000;
const READABLE_TOLERANCE_MS = 500;
/** Time after the acknowledged end of a job during which its items may still start, ms. */
const CANCELLED_MS = 3000;

/** Returns the job of a run whose id is `job/item`. */
const jobIdOf = (runId: string): string => runId.slice(0, runId.lastIndexOf("/"));

export const jobDurable: Invariant = {
  name: "lot-kept",
  requirement: "An accepted lot is kept; its results never vanish",
  check: (history) => [
    ...history.of("lotLost").map(({ lot: job, detail }) => `batch job ${job} was lost: ${detail}`),
    ...history
      .of("lotReread")
      .filter(({ complete }) => !complete)
      .map(({ lot: job, ingress }) => `not all results of batch job ${job} could be read at ${ingress}`),
  ],
};

export const jobReadable: Invariant = {
  name: "lot-readable",
  requirement: "Within about a second its results can be read at every node",
  check: (history, _endpoints, { unreachable }) => {
    const faults = history.of("fault");
    const duringRecovery = (from: number, to: number): boolean =>
      faults.some((fault) => fault.at <= to && from <= fault.at + RECOVERY_MS);
    return history
      .of("lotReadable")
      .filter(({ afterMs }) => afterMs > READABLE_MS + READABLE_TOLERANCE_MS)
      .filter(({ at, afterMs }) => !duringRecovery(at - afterMs, at))
      .filter(({ ingress, at, afterMs }) => !unreachable?.(ingress, at - afterMs, at))
      .map(
        ({ lot: job, ingress, afterMs }) =>
          `a result of batch job ${job} was readable at ${ingress} only after ${afterMs.toFixed(0)} ms`,
      );
  },
};

/** Collects the observed positions of results, and the contradictions between observations. */
class ResultPositions {
  readonly contradictions: string[] = [];
  private readonly itemAt = new Map<string, number>();
  private readonly positionOf = new Map<string, number>();

  observe(job: string, position: number, item: number): void {
    const otherItem = this.itemAt.get(`${job}#${position}`);
    if (otherItem !== undefined && otherItem !== item)
      this.contradictions.push(`batch job ${job}: position ${position} held item ${otherItem} and then item ${item}`);
    const otherPosition = this.positionOf.get(`${job}/${item}`);
    if (otherPosition !== undefined && otherPosition !== position)
      this.contradictions.push(`item ${job}/${item} was at position ${otherPosition} and then at position ${position}`);
    this.itemAt.set(`${job}#${position}`, item);
    this.positionOf.set(`${job}/${item}`, position);
  }
}

export const fixedPosition: Invariant = {
  name: "one-position",
  requirement: "Each result holds one position in its lot, and that position never changes",
  check: (history) => {
    const positions = new ResultPositions();
    for (const observation of history.observations) {
      if (observation.tag === "lotResult") positions.observe(observation.lot, observation.position, observation.item);
      if (observation.tag === "lotReread" && observation.order !== "")
        observation.order
          .split(",")
          .forEach((item, index) => positions.observe(observation.lot, index + 1, Number(item)));
    }
    return positions.contradictions;
  },
};

export const cancelledJobStops: Invariant = {
  name: "ended-stops",
  requirement: "Once a lot is ended, none of its items starts after about three seconds",
  check: (history, endpoints) => {
    const cancelledAt = new Map(history.of("lotEnded").map(({ lot: job, at }) => [job, at]));
    const violations: string[] = [];
    for (const { id, at } of runsOf(endpoints)) {
      const cancelled = id.includes("/") ? cancelledAt.get(jobIdOf(id)) : undefined;
      if (cancelled !== undefined && at > cancelled + CANCELLED_MS + TOLERANCE_MS)
        violations.push(`item ${id} started ${(at - cancelled).toFixed(0)} ms after its batch job was ended`);
    }
    return violations;
  },
};
