import { Constants } from "../common/constants";
import { CalendarEntryState } from "./calendarEntry";
import { putCalendarEntryAndTrim } from "./calendarTable";
import type { DrainCommand, Outcome } from "./command";
import type { ControlState } from "./controlState";
import { recordOutcome } from "./decisions";

/** Returns when an order of this kind was last accepted for the zone, by the wall clock of the accepting leader, ms. */
function lastAcceptedAt(state: ControlState, kind: DrainCommand["tag"], zone: string): number | undefined {
  const times = Object.values(state.calendar)
    .filter(({ id, move }) => move.kind === kind && move.district === zone && id.startsWith(`${kind}-${zone}-`))
    .map(({ due }) => due);
  return times.length > 0 ? Math.max(...times) : undefined;
}

/**
 * Returns whether an order without an id may be a late retry of an order that was accepted and then reversed. The
 * caller of a retry gives up before the interval ends, whereas the caller of a new order still retries after it.
 */
function mayBeLateRetry(state: ControlState, command: DrainCommand): boolean {
  if (command.identified) return false;
  const acceptedAt = lastAcceptedAt(state, command.tag, command.district);
  if (acceptedAt === undefined) return false;
  const ageMs = command.at - acceptedAt;
  return ageMs >= 0 && ageMs < Constants.orderRetryWindowMs;
}

/** Finishes the calendar entries of drains that an undrain reverses. */
function finishDrains(state: ControlState, zone: string, undrainId: string): void {
  for (const entry of Object.values(state.calendar)) {
    const { fate: entryState, move } = entry;
    if (entryState !== CalendarEntryState.started || move.kind !== "drain" || move.district !== zone) continue;
    putCalendarEntryAndTrim(state, {
      ...entry,
      fate: CalendarEntryState.finished,
      detail: `taken back by ${undrainId}`,
      version: entry.version + 1,
    });
  }
}

export function addDrainedZone(state: ControlState, zone: string): void {
  if (!state.drained.includes(zone)) state.drained = [...state.drained, zone];
}

export function removeDrainedZone(state: ControlState, zone: string): void {
  state.drained = state.drained.filter((drained) => drained !== zone);
}

/**
 * Drains a zone or ends its drain, effective with this log entry. It is idempotent: a zone that is already in that
 * state is left unchanged.
 */
export function applyDrain(state: ControlState, index: number, command: DrainCommand): Outcome {
  const { tag, district: zone } = command;
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  const isDrain = tag === "drain";
  if (state.drained.includes(zone) === isDrain) return { tag: "done", version: index };
  if (mayBeLateRetry(state, command))
    return { tag: "undecided", detail: `the same ${tag} was taken a moment ago, and taken back since` };
  const id = `${tag}-${zone}-${index}`;
  if (isDrain) addDrainedZone(state, zone);
  else {
    removeDrainedZone(state, zone);
    finishDrains(state, zone, id);
  }
  putCalendarEntryAndTrim(state, {
    id,
    due: command.at,
    version: 1,
    fate: isDrain ? CalendarEntryState.started : CalendarEntryState.finished,
    move: { kind: tag, district: zone },
  });
  return recordOutcome(state, index, command, `move ${id}`, { tag: "done", version: index }, `${tag} in force`);
}
