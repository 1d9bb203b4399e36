import { CalendarEntryState } from "./calendarEntry";
import { putCalendarEntryAndTrim } from "./calendarTable";
import type { Outcome, RetireCommand } from "./command";
import type { ControlState } from "./controlState";
import { recordOutcome } from "./decisions";

export function addRetiringStore(state: ControlState, store: string): void {
  if (!state.retiring.includes(store)) state.retiring = [...state.retiring, store];
}

export function removeRetiringStore(state: ControlState, store: string): void {
  state.retiring = state.retiring.filter((retiring) => retiring !== store);
}

/**
 * Starts the retirement of a storage node. It is idempotent: the retirement of a node that is already retiring
 * continues unchanged.
 */
export function applyRetire(state: ControlState, index: number, command: RetireCommand): Outcome {
  const { store, name } = command;
  const earlier = state.changes[command.changeId];
  if (earlier) return earlier;
  if (state.retiring.includes(store)) return { tag: "done", version: index };
  const id = `retire-${name}-${index}`;
  addRetiringStore(state, store);
  putCalendarEntryAndTrim(state, {
    id,
    due: command.at,
    version: 1,
    fate: CalendarEntryState.started,
    move: { kind: "retire", store, name },
  });
  const outcome: Outcome = { tag: "done", version: index };
  return recordOutcome(state, index, command, `move ${id}`, outcome, `retire ${store} started`);
}
