import { History } from "../history";

/** One execution of a request at an endpoint. */
export interface ObservedRun {
  /** Id of the request, or `job/item`. */
  id: string;
  attempt: number;
  /** Wall clock at the start, ms. */
  at: number;
  kind: "stream" | "single";
  /** Chunks that an earlier attempt had delivered. */
  continued: number;
}
/** An endpoint, and all that it ran. */
export interface ObservedEndpoint {
  settings: { id: string; district: string };
  runs: ObservedRun[];
}
/** A run, with the endpoint that it was at. */
export interface EndpointRun extends ObservedRun {
  replica: string;
  district: string;
}
/** An invariant that did not hold, and what shows it. */
export interface Violation {
  invariant: string;
  detail: string;
}
/** What the checker has to know of the run. */
export interface CheckOptions {
  /** Nothing but planned operations happened: then no request may go without a response. */
  plannedOnly?: boolean;
  /** End of the fleet's start-up, wall clock in ms: slow start is judged for endpoints started after it. */
  settledAt?: number;
  /** Whether the run itself cut off or froze a node in that time: bounds in seconds hold for nodes that can be reached. */
  unreachable?: (node: string, from: number, to: number) => boolean;
}
/** A sentence of the requirements as a check over a history. */
export interface Invariant {
  name: string;
  /** The sentence of the requirements, in its own words. */
  requirement: string;
  /** What violates it; empty where it holds. */
  check: (history: History, endpoints: ObservedEndpoint[], options: CheckOptions) => string[];
}

/** How far a bound that the requirements call "about" may be exceeded, ms. */
export const TOLERANCE_MS = 200;
/** Time within which service returns after a fault, ms. */
export const RECOVERY_MS = 12_000;
/** Most violations that are listed of an invariant that is judged at every reading. */
export const REPORTED_VIOLATIONS = 5;

/** The runs of all endpoints. @example runsOf(endpoints).length */
export const runsOf = (endpoints: ObservedEndpoint[]): EndpointRun[] =>
  endpoints.flatMap(({ settings, runs }) =>
    runs.map((run) => ({ ...run, replica: settings.id, district: settings.district })),
  );
