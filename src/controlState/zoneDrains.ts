import { Constants } from "../common/constants";
import { CalendarEntryState } from "./calendarEntry";
import { putCalendarEntryAndTrim } from "./calendarTable";
import type { DrainCommand, Outcome } from "./command";
import type { ControlState } from "./controlState";
import { recordOutcome } from "./decisions";

/** When an order of this kind was last accepted for the zone, by the wall clock of the leader that took it, ms. */
function lastAcceptedAt(state: ControlState, kind: DrainCommand["tag"], zone: string): number | undefined {
  const times = Object.values(state.calendar)
    .filter(({ id, move }) => move.kind === kind && move.district === zone && id.startsWith(`${kind}-${zone}-`))
    .map(({ due }) => due);
  return times.length > 0 ? Math.max(...times) : undefined;
}

/**
 * Whether an order without an id may be a late retry of one that was accepted and has been reversed since. The caller of
 * a retry gives up before the interval ends; the caller of a new order still sends then.
 */
function maybeLateRetry(state: ControlState, command: DrainCommand): boolean {
  if (command.identified) return false;
  const acceptedAt = lastAcceptedAt(state, command.tag, command.district);
  if (acceptedAt === undefined) return false;
  const ageMs = command.at - acceptedAt;
  return ageMs >= 0 && ageMs < Constants.orderRetryWindowMs;
}

/** Ends the calendar entries of drains that an undrain reverses. */
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

/** @example addDrainedZone(state, "north"); */
export function addDrainedZone(state: ControlState, zone: string): void {
  if (!state.drained.includes(zone)) state.drained = [...state.drained, zone];
}

/** @example removeDrainedZone(state, "north"); */
export function removeDrainedZone(state: ControlState, zone: string): void {
  state.drained = state.drained.filter((drained) => drained !== zone);
}

/**
 * Drains a zone or ends its drain, in force with this entry. It is idempotent: a zone that is already so stays as it is.
 * @example applyDrain(state, 7, { tag: "drain", changeId: "c1", district: "north", by: "ann", at: 1_700_000_000_000 });
 */
export function applyDrain(state: ControlState, index: number, command: DrainCommand): Outcome {
  const { tag, district: zone } = command;
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  const isDrain = tag === "drain";
  if (state.drained.includes(zone) === isDrain) return { tag: "done", version: index };
  if (maybeLateRetry(state, command))
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
