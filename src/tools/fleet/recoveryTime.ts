import { History } from "../history";

const OBSERVED_MS = 20_000; // ms after the fault; what is served later says nothing about it

/** Kinds of calls whose recovery is measured. */
export type ServedKind = "lookup" | "stream" | "lot";

/**
 * How long after a fault a kind of call was served without a gap again, in ms.
 *
 * @param faultAt wall clock of the fault, ms
 * @param gapMs longest time between two served calls that is no gap
 * @example
 * recoveryTimeMs(history, fault.at, "lot", 4000);
 */
export function recoveryTimeMs(history: History, faultAt: number, kind: ServedKind, gapMs: number): number {
  const times = history
    .of("served")
    .filter((served) => served.kind === kind)
    .map((served) => served.at)
    .sort((left, right) => left - right);
  let previous = times.filter((time) => time <= faultAt).pop() ?? faultAt;
  let recoveredAfterMs = 0;
  for (const time of times.filter((each) => each > faultAt && each < faultAt + OBSERVED_MS)) {
    if (time - previous > gapMs) recoveredAfterMs = time - faultAt;
    previous = time;
  }
  return recoveredAfterMs;
}
