/** The end of a log: the epoch and the sequence number of its last entry. */
export interface LogPosition {
  epoch: number;
  seq: number;
}
/** The response that a caller received to a lookup. */
interface LookupObservation {
  tag: "lookup";
  at: number;
  /** Time from the request to the response, ms. */
  tookMs: number;
  status: number;
  /** Whether the response belongs to the request of this caller. */
  mine: boolean;
  ingress: string;
}
/** A request that was rejected as busy (status 503). */
interface BusyObservation {
  tag: "busy";
  at: number;
  tookMs: number;
  kind: string;
  requestId: string;
  /** Whether the response had a Retry-After header. */
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
  /** Whether it was the next chunk and had the expected text. */
  right: boolean;
}
/** The response with status 200 to a request that was forwarded by host and path. */
interface DirectResponseObservation {
  tag: "directResponse";
  at: number;
  requestId: string;
  /** Whether its framing and the end of its connection mark it as complete. */
  looksComplete: boolean;
  /** Whether it has the endpoint's whole body. */
  isWhole: boolean;
}
/** The end of a stream. */
interface StreamEndObservation {
  tag: "streamEnd";
  stream: number;
  at: number;
  tookMs: number;
  /** Time to the first chunk, ms. */
  firstMs: number;
  /** Number of chunks received. */
  pieces: number;
  /** Number of chunks requested. */
  wanted: number;
  /** Number of times that the caller resumed the stream. */
  resumes: number;
  /** Name of the route. */
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
  /** Id under which the endpoint ran the request. */
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
  /** Position among the results of the job, counted from 1. */
  position: number;
  item: number;
  state: string;
  at: number;
  ingress: string;
  mine: boolean;
}
/** A batch job all of whose results were read. */
interface JobFinishedObservation {
  tag: "lotFinished";
  lot: string;
  at: number;
  tookMs: number;
  ended: boolean;
  results: number;
}
/** An accepted batch job that was not found later or did not finish in time. */
interface JobLostObservation {
  tag: "lotLost";
  lot: string;
  at: number;
  detail: string;
}
/** A batch job whose early end was acknowledged. */
interface JobEndedObservation {
  tag: "lotEnded";
  lot: string;
  at: number;
}
/** The results of a batch job, reread at the end of the run. */
interface JobRereadObservation {
  tag: "lotReread";
  lot: string;
  at: number;
  ingress: string;
  /** Items in the order of their results, separated by commas. */
  order: string;
  complete: boolean;
}
/** The time from the first read of a result of a batch job until another ingress listed one, too. */
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
/** A configuration change and its outcome as known to the operator. */
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
/** The configuration that is in force at a node. */
interface InForceObservation {
  tag: "inForce";
  at: number;
  node: string;
  version: number;
  /** Names of its marker routes, separated by commas. */
  mark: string;
}
/** The configuration as read at the end of the run. */
interface DayEndObservation {
  tag: "dayEnd";
  at: number;
  version: number;
  mark: string;
}
/** An injected fault. */
interface FaultObservation {
  tag: "fault";
  at: number;
  fault: string;
  /** Whether the fault may interrupt service. */
  heavy: boolean;
}
/** The end of a fault: a process restarted, or a link healed. */
interface RestoredObservation {
  tag: "restored";
  at: number;
  what: string;
}
/** A call that was served successfully. */
interface ServedObservation {
  tag: "served";
  at: number;
  kind: "lookup" | "stream" | "lot";
}
/** The start of an endpoint. */
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
/** The log of a shard replica at the commit of a new view. */
interface OnDiskObservation {
  tag: "onDisk";
  at: number;
  shard: number;
  epoch: number;
  member: string;
  /** End of the synced log. */
  stands: LogPosition;
  /** Last log position that was acknowledged before the new view. */
  acknowledged: LogPosition;
}
/** A process that was shut down gracefully. */
interface StoppedObservation {
  tag: "stopped";
  at: number;
  process: string;
  /** Number of requests that it left without a response. */
  unanswered: number;
}

/** An observation of a caller, an operator or the test harness. `at` is the wall-clock time of the observer, ms. */
export type Observation =
  | LookupObservation
  | BusyObservation
  | FailedObservation
  | ChunkObservation
  | StreamEndObservation
  | DirectResponseObservation
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
/** The tag of a kind of observation. */
export type ObservationTag = Observation["tag"];
/** The type of the observations with one tag. */
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

  /** Appends an observation. */
  add(observation: Observation): void {
    this.observations.push(observation);
  }
  /** Returns the observations with one tag. */
  of<Tag extends ObservationTag>(tag: Tag): ObservationOf<Tag>[] {
    return this.observations.filter((observation): observation is ObservationOf<Tag> => observation.tag === tag);
  }
}
