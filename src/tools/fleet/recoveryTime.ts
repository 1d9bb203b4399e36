import { History } from "../history";

/** Interval after a fault in which served calls count, in ms; later calls say nothing about the recovery. */
const OBSERVATION_MS = 20_000;

/** The kinds of calls whose recovery is measured. */
export type ServedKind = "lookup" | "stream" | "lot";

/**
 * Returns the time from a fault to the first call after the last gap in the service of a kind of call, in ms; 0 if there
 * was no gap.
 *
 * @param faultAt wall-clock time of the fault, in ms
 * @param maxGapMs longest interval between two served calls that does not count as a gap, in ms
 * @example
 * recoveryTimeMs(history, fault.at, "lot", 4000);
 */
export function recoveryTimeMs(history: History, faultAt: number, kind: ServedKind, maxGapMs: number): number {
  const times = history
    .of("served")
    .filter((served) => served.kind === kind)
    .map((served) => served.at)
    .sort((left, right) => left - right);
  let previous = times.filter((time) => time <= faultAt).pop() ?? faultAt;
  let recoveredAfterMs = 0;
  for (const time of times.filter((each) => each > faultAt && each < faultAt + OBSERVATION_MS)) {
    if (time - previous > maxGapMs) recoveredAfterMs = time - faultAt;
    previous = time;
  }
  return recoveredAfterMs;
}
