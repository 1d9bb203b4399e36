import { Constants } from "../common/constants";
import { type CalendarEntry, isEnded } from "./calendarEntry";
import type { ControlState } from "./controlState";

/** Stores a calendar entry; an existing entry keeps its position. */
export function putCalendarEntry(state: ControlState, entry: CalendarEntry): void {
  state.calendar = { ...state.calendar, [entry.id]: entry };
}

/** Stores a calendar entry, and drops the oldest ended entries beyond the limit. */
export function putCalendarEntryAndTrim(state: ControlState, entry: CalendarEntry): void {
  const calendar = { ...state.calendar, [entry.id]: entry };
  const ended = Object.values(calendar).filter(isEnded);
  const surplus = Math.max(0, ended.length - Constants.endedEntriesRetained);
  for (const { id } of ended.slice(0, surplus)) delete calendar[id];
  state.calendar = calendar;
}
