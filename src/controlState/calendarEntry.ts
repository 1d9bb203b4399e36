import type { Configuration } from "./configuration";

/** States of a calendar entry by their standard names; the values are what is stored and sent. */
export const CalendarEntryState = {
  scheduled: "pencilled",
  started: "started",
  finished: "finished",
  failed: "failed",
  cancelled: "removed",
} as const;
export type CalendarEntryState = (typeof CalendarEntryState)[keyof typeof CalendarEntryState];

/** Shifts new requests of a pool to a version of its endpoints. */
export interface ReleaseOperation {
  kind: "release";
  pool: string;
  version: string;
  /** Duration of the shift, ms. */
  overMs: number;
}

/** Returns to what was in force before the pool's last release. */
export interface RollbackOperation {
  kind: "rollback";
  pool: string;
}

/** Takes the endpoints of a zone out of use. */
export interface DrainOperation {
  kind: "drain";
  /** The zone. */
  district: string;
  /** End of the drain, wall clock, ms; absent: the drain stays until an undrain. */
  until?: number;
}

/** Ends the drain of a zone. */
export interface UndrainOperation {
  kind: "undrain";
  /** The zone. */
  district: string;
}

/** Moves all replicas off a storage node. */
export interface RetireOperation {
  kind: "retire";
  /** Id of the storage node. */
  store: string;
  /** Name of its machine, where the order named that. */
  name?: string;
}

/** Replaces the configuration. */
export interface ConfigurationOperation {
  kind: "manifest";
  /** The version that the operation was planned against. */
  ifVersion: number;
  doc: Configuration;
}

/** What a calendar entry carries out when it is due. */
export type PlannedOperation =
  ReleaseOperation | RollbackOperation | DrainOperation | UndrainOperation | RetireOperation | ConfigurationOperation;

/** A planned operation with its time and state. */
export interface CalendarEntry {
  id: string;
  /** Start time, wall clock, ms. */
  due: number;
  /** Version of the entry, for compare-and-set. */
  version: number;
  /** State of the entry. */
  fate: CalendarEntryState;
  /** Why it is in this state, for operators. */
  detail?: string;
  /** The planned operation. */
  move: PlannedOperation;
}

/** Whether the entry has reached a state that it does not leave by itself. @example isEnded(entry) */
export const isEnded = ({ fate: state }: CalendarEntry): boolean =>
  state === CalendarEntryState.finished ||
  state === CalendarEntryState.failed ||
  state === CalendarEntryState.cancelled;
