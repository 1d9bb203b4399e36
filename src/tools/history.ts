/** How far a log reaches: the epoch of its last entry and that entry's sequence number. */
export interface LogPosition {
  epoch: number;
  seq: number;
}
/** A caller's response to a lookup. */
interface LookupObservation {
  tag: "lookup";
  at: number;
  /** ms from the request to the response. */
  tookMs: number;
  status: number;
  /** Whether the response was to this caller's own request. */
  mine: boolean;
  ingress: string;
}
/** A request that was refused with "busy, try later". */
interface BusyObservation {
  tag: "busy";
  at: number;
  tookMs: number;
  kind: string;
  requestId: string;
  /** Whether the response said when to retry. */
  retryAfter: boolean;
}
/** A request that failed, or whose outcome is unknown. */
interface FailedObservation {
  tag: "failed";
  at: number;
  tookMs: number;
  kind: string;
  requestId: string;
  code: string;
  detail: string;
}
/** One chunk of a stream. */
interface ChunkObservation {
  tag: "streamPiece";
  stream: number;
  n: number;
  /** Whether it was the next chunk, with the expected text. */
  right: boolean;
}
/** The end of a stream. */
interface StreamEndObservation {
  tag: "streamEnd";
  stream: number;
  at: number;
  tookMs: number;
  /** ms to the first chunk. */
  firstMs: number;
  /** Chunks received. */
  pieces: number;
  /** Chunks asked for. */
  wanted: number;
  /** How often the caller resumed it at another ingress. */
  resumes: number;
  /** Route. */
  binding: string;
}
/** The response to a request with side effects. */
interface SingleObservation {
  tag: "single";
  at: number;
  key: string;
  requestId: string;
  status: number;
  mine: boolean;
  tookMs: number;
  /** Id under which the endpoint ran it. */
  ran: string;
}
/** A batch job whose acceptance was acknowledged; `lot` is the job's id here and below. */
interface JobAcceptedObservation {
  tag: "lotAccepted";
  at: number;
  tookMs: number;
  lot: string;
  items: number;
  binding: string;
}
/** One result of a batch job. */
interface JobResultObservation {
  tag: "lotResult";
  lot: string;
  /** Position among the job's results, from 1 on. */
  position: number;
  item: number;
  state: string;
  at: number;
  ingress: string;
  mine: boolean;
}
/** A batch job whose results were all read. */
interface JobFinishedObservation {
  tag: "lotFinished";
  lot: string;
  at: number;
  tookMs: number;
  ended: boolean;
  results: number;
}
/** A batch job that was accepted and could not be found or finished. */
interface JobLostObservation {
  tag: "lotLost";
  lot: string;
  at: number;
  detail: string;
}
/** A batch job whose cancellation was acknowledged. */
interface JobEndedObservation {
  tag: "lotEnded";
  lot: string;
  at: number;
}
/** A batch job's results, read again at the end of the run. */
interface JobRereadObservation {
  tag: "lotReread";
  lot: string;
  at: number;
  ingress: string;
  /** Items in the order of their results, with commas. */
  order: string;
  complete: boolean;
}
/** How long after its first reading a result could be read at another ingress. */
interface JobReadableObservation {
  tag: "lotReadable";
  lot: string;
  ingress: string;
  at: number;
  afterMs: number;
}
/** An endpoint whose deregistration was acknowledged. */
interface DeregisteredObservation {
  tag: "goodbye";
  at: number;
  replica: string;
}
/** A zone whose drain was acknowledged. */
interface DrainedObservation {
  tag: "drained";
  at: number;
  district: string;
}
/** A zone whose drain was ended. */
interface UndrainedObservation {
  tag: "undrained";
  at: number;
  district: string;
}
/** A configuration change, as its operator knows its outcome. */
interface ChangeObservation {
  tag: "change";
  at: number;
  what: string;
  changeId: string;
  outcome: "acknowledged" | "refused" | "unknown";
  version: number;
  /** Name of the marker route that the change added. */
  mark: string;
}
/** The configuration that a node works with. */
interface InForceObservation {
  tag: "inForce";
  at: number;
  node: string;
  version: number;
  /** Names of its marker routes, with commas. */
  mark: string;
}
/** The configuration as read at the end of the run. */
interface DayEndObservation {
  tag: "dayEnd";
  at: number;
  version: number;
  mark: string;
}
/** A fault that was injected. */
interface FaultObservation {
  tag: "fault";
  at: number;
  fault: string;
  /** Whether service may be interrupted by it. */
  heavy: boolean;
}
/** The end of a fault: a process that came back, or a link that was healed. */
interface RestoredObservation {
  tag: "restored";
  at: number;
  what: string;
}
/** A call that was served. */
interface ServedObservation {
  tag: "served";
  at: number;
  kind: "lookup" | "stream" | "lot";
}
/** An endpoint that was started. */
interface EndpointStartedObservation {
  tag: "replicaStarted";
  at: number;
  replica: string;
  capacity: number;
}
/** The ledger as read at one ingress. */
interface LedgerObservation {
  tag: "ledger";
  at: number;
  ingress: string;
  /** Stamps of its entries, in the order read. */
  stamps: string[];
}
/** A shard replica's log when a new view was committed. */
interface OnDiskObservation {
  tag: "onDisk";
  at: number;
  shard: number;
  epoch: number;
  member: string;
  /** How far its synced log reaches. */
  stands: LogPosition;
  /** Last position acknowledged before the view. */
  acknowledged: LogPosition;
}
/** A process that was shut down gracefully. */
interface StoppedObservation {
  tag: "stopped";
  at: number;
  process: string;
  /** Requests that it left without a response. */
  unanswered: number;
}

/** What callers, operators and the test harness observed. `at` is the observer's wall clock, ms. */
export type Observation =
  | LookupObservation
  | BusyObservation
  | FailedObservation
  | ChunkObservation
  | StreamEndObservation
  | SingleObservation
  | JobAcceptedObservation
  | JobResultObservation
  | JobFinishedObservation
  | JobLostObservation
  | JobEndedObservation
  | JobRereadObservation
  | JobReadableObservation
  | DeregisteredObservation
  | DrainedObservation
  | UndrainedObservation
  | ChangeObservation
  | InForceObservation
  | DayEndObservation
  | FaultObservation
  | RestoredObservation
  | ServedObservation
  | EndpointStartedObservation
  | LedgerObservation
  | OnDiskObservation
  | StoppedObservation;
/** Name of a kind of observation. */
export type ObservationTag = Observation["tag"];
/** The observations of one kind. */
export type ObservationOf<Tag extends ObservationTag> = Extract<Observation, { tag: Tag }>;

/**
 * All observations of a run, in the order in which they were made.
 *
 * @example
 * const history = new History();
 * history.add({ tag: "goodbye", at: 5, replica: "r1" });
 */
export class History {
  readonly observations: Observation[] = [];

  /** Appends an observation. @example history.add(observation); */
  add(observation: Observation): void {
    this.observations.push(observation);
  }
  /** The observations of one kind. @example history.of("lookup").length */
  of<Tag extends ObservationTag>(tag: Tag): ObservationOf<Tag>[] {
    return this.observations.filter((observation): observation is ObservationOf<Tag> => observation.tag === tag);
  }
}
