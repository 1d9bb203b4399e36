import { AcceptedChanges } from "./acceptedChanges";
import {
  CalendarEntryState,
  type CalendarEntry,
  type ConfigurationOperation,
  type DrainOperation,
  type ReleaseOperation,
  type RetireOperation,
  type RollbackOperation,
} from "./calendarEntry";
import { putCalendarEntry, putCalendarEntryAndTrim } from "./calendarTable";
import type { CancelCommand, Outcome, ScheduleCommand, TransitionCommand } from "./command";
import { compareAndSet, replaceConfiguration } from "./compareAndSet";
import { ControlState } from "./controlState";
import { recordDecision } from "./decisions";
import { addRetiringStore, removeRetiringStore } from "./storeRetirements";
import { addDrainedZone, removeDrainedZone } from "./zoneDrains";

/** The reason why a transition ends in another state than the requested one. */
interface Failure {
  failure: string;
}
/** Result of the effect of a transition: the failure, if there is one. */
type Effect = Failure | undefined;

const wrongState = (entry: CalendarEntry | undefined): Outcome => ({
  tag: "refused",
  detail: `move is ${entry ? entry.fate : "not there"}`,
});

/** Schedules a planned operation, or replaces one that has not started. */
export function applySchedule(state: ControlState, index: number, command: ScheduleCommand): Outcome {
  const { id, due, move } = command;
  const entry = state.calendar[id];
  const isReplaceable =
    !entry || entry.fate === CalendarEntryState.scheduled || entry.fate === CalendarEntryState.cancelled;
  if (!isReplaceable && !state.changes[command.changeId]) return wrongState(entry);
  const current = entry?.version ?? 0;
  return compareAndSet(state, index, command, `move ${id}`, current, () => {
    const version = current + 1;
    putCalendarEntryAndTrim(state, { id, due, version, fate: CalendarEntryState.scheduled, move });
    return version;
  });
}

/** Cancels a calendar entry that has not started. */
export function applyCancel(state: ControlState, index: number, command: CancelCommand): Outcome {
  const entry = state.calendar[command.id];
  if (!entry || (entry.fate !== CalendarEntryState.scheduled && !state.changes[command.changeId]))
    return wrongState(entry);
  return compareAndSet(state, index, command, `move ${command.id}`, entry.version, () => {
    const version = entry.version + 1;
    putCalendarEntry(state, { ...entry, fate: CalendarEntryState.cancelled, version });
    return version;
  });
}

function transitionDrain(
  state: ControlState,
  { district: zone, until }: DrainOperation,
  to: CalendarEntryState,
): Effect {
  if (to === CalendarEntryState.started) addDrainedZone(state, zone);
  if (to === CalendarEntryState.finished && until !== undefined) removeDrainedZone(state, zone);
  return undefined;
}

function transitionRetire(state: ControlState, { store }: RetireOperation, to: CalendarEntryState): Effect {
  if (to === CalendarEntryState.started) addRetiringStore(state, store);
  if (to === CalendarEntryState.failed) removeRetiringStore(state, store);
  return undefined;
}

function startRelease(state: ControlState, { pool, version, overMs }: ReleaseOperation, at: number): Effect {
  const current = state.releases[pool] ?? { version: "", startedAt: 0, overMs: 0 };
  const { former: _older, ...former } = current;
  state.releases = { ...state.releases, [pool]: { version, startedAt: at, overMs, former } };
  return undefined;
}

function rollBack(state: ControlState, { pool }: RollbackOperation, at: number): Effect {
  const current = state.releases[pool];
  if (!current?.former) return { failure: `pool ${pool} has no release to take back` };
  const release = { ...current.former, startedAt: at, overMs: 0, withdrawn: current.version };
  state.releases = { ...state.releases, [pool]: release };
  return undefined;
}

function replaceByCalendar(state: ControlState, { ifVersion, doc }: ConfigurationOperation, entryId: string): Effect {
  const { version: current } = state.manifest;
  if (ifVersion !== current) return { failure: `made against version ${ifVersion}, current is ${current}` };
  const replaced = replaceConfiguration(state, doc);
  if (typeof replaced === "string") return { failure: replaced };
  AcceptedChanges.add(ControlState.acceptedChanges(state, "manifest"), ifVersion, `calendar entry ${entryId}`);
  return undefined;
}

/** Applies the effect of a transition to the rest of the state. */
function applyEffect(
  state: ControlState,
  { id, move: operation }: CalendarEntry,
  { to, at }: TransitionCommand,
): Effect {
  const isFinished = to === CalendarEntryState.finished;
  switch (operation.kind) {
    case "drain":
      return transitionDrain(state, operation, to);
    case "undrain":
      if (isFinished) removeDrainedZone(state, operation.district);
      return undefined;
    case "retire":
      return transitionRetire(state, operation, to);
    case "release":
      return to === CalendarEntryState.started ? startRelease(state, operation, at) : undefined;
    case "rollback":
      return isFinished ? rollBack(state, operation, at) : undefined;
    case "manifest":
      return isFinished ? replaceByCalendar(state, operation, id) : undefined;
  }
}

/**
 * Moves a calendar entry to its next state and applies the effect of its operation; an operation that turns out to be
 * impossible ends as failed. The command is rejected if the entry is no longer in the state that it starts from.
 */
export function applyTransition(state: ControlState, index: number, command: TransitionCommand): Outcome {
  const entry = state.calendar[command.id];
  if (!entry || entry.fate !== command.from) return wrongState(entry);
  const failure = applyEffect(state, entry, command)?.failure;
  const reached = failure === undefined ? command.to : CalendarEntryState.failed;
  const detail = failure ?? command.detail;
  const version = entry.version + 1;
  putCalendarEntry(state, { ...entry, fate: reached, detail, version });
  recordDecision(
    state,
    index,
    `move ${entry.id}`,
    `${entry.move.kind} ${reached}${detail ? `: ${detail}` : ""}`,
    `calendar entry ${entry.id} due ${new Date(entry.due).toISOString()}`,
  );
  return { tag: "done", version };
}
