import type { Configuration } from "./configuration";

/** States of a calendar entry. The values are stored and sent. */
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

/** Restores the release that was in force before the pool's last one. */
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
  /** Name of its machine, if the order gave that. */
  name?: string;
}

/** Replaces the configuration. */
export interface ConfigurationOperation {
  kind: "manifest";
  /** Configuration version that the operation was planned against. */
  ifVersion: number;
  doc: Configuration;
}

/** The operation that a calendar entry carries out when it is due. */
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
  /** Explanation of the state for operators. */
  detail?: string;
  /** The planned operation. */
  move: PlannedOperation;
}

/** Returns whether the entry has reached a state that it does not leave by itself. */
export const isEnded = ({ fate: state }: CalendarEntry): boolean =>
  state === CalendarEntryState.finished ||
  state === CalendarEntryState.failed ||
  state === CalendarEntryState.cancelled;
