import { History } from "../history";

/** One execution of a request at an endpoint. */
export interface ObservedRun {
  /** Id of the request, or `job/item` for a batch item. */
  id: string;
  attempt: number;
  /** Wall-clock time of the start, ms. */
  at: number;
  kind: "stream" | "single";
  /** Number of chunks that earlier attempts had delivered. */
  continued: number;
}
/** An endpoint and all of its runs. */
export interface ObservedEndpoint {
  settings: { id: string; district: string };
  runs: ObservedRun[];
}
/** A run together with its endpoint. */
export interface EndpointRun extends ObservedRun {
  replica: string;
  district: string;
}
/** A violated invariant, and the observation that shows it. */
export interface Violation {
  invariant: string;
  detail: string;
}
/** What the checker knows about a run besides its history. */
export interface CheckOptions {
  /** Whether the run had planned operations only and no faults; no request may fail then. */
  plannedOnly?: boolean;
  /** Wall-clock time at which the fleet had started, in ms. Slow start is checked for endpoints started later. */
  settledAt?: number;
  /** Whether the run partitioned or froze a node in an interval. Time limits apply to reachable nodes only. */
  unreachable?: (node: string, from: number, to: number) => boolean;
}
/** A requirement, as a check over a history. */
export interface Invariant {
  name: string;
  /** Text of the requirement, quoted word for word. */
  requirement: string;
  /** Returns a description of each violation. */
  check: (history: History, endpoints: ObservedEndpoint[], options: CheckOptions) => string[];
}

/** By how much a time limit may be exceeded that the requirements call "about", ms. */
export const TOLERANCE_MS = 200;
/** Time within which service must be restored after a fault, ms. */
export const RECOVERY_MS = 12_000;
/** Maximum number of violations reported for an invariant that is checked for each of many readings. */
export const REPORTED_VIOLATIONS = 5;

/** Returns the runs of all endpoints. */
export const runsOf = (endpoints: ObservedEndpoint[]): EndpointRun[] =>
  endpoints.flatMap(({ settings, runs }) =>
    runs.map((run) => ({ ...run, replica: settings.id, district: settings.district })),
  );
