import type { Result } from "../../common/fault";
import type { Stamp } from "../../common/stamp";
import type { Route } from "../../controlState/configuration";
import type { MatchedRoute } from "../../routing/routeTable";
import type { Task } from "../../runtime/csp";
import type { Environment, HttpExchange } from "../../runtime/env";
import type { Cause, ItemRequest, PutOutcome } from "../../shard/shardTypes";
import type {
  EndJobResponse,
  ItemBodyResponse,
  JobResultPage,
  JobResultsResponse,
  JobStatusResponse,
  SubmitJobResponse,
} from "../../storage/messages/batchJobMessages";
import type { OpenResponse, ReadResponse } from "../../storage/messages/liveRequestMessages";

/** The response of an endpoint to a lookup. */
export interface CallerResponse {
  status: number;
  /** The body as JSON text. */
  body: string;
}

/** A request that passed admission, with the settings that the configuration and the policies give it. */
export interface AdmittedRequest {
  /** The name of its route. */
  name: string;
  route: Route;
  /** The caller's name; empty if the caller gave none. */
  caller: string;
  /** The priority; the lowest number is served first. */
  order: number;
  /** The configuration and policy that it was admitted by, for the ledger. */
  cause: Cause;
  /** The time-out of the entire request in ms. */
  deadlineMs: number;
}

/** An item of a batch job as submitted by a caller: a complete request with its body in base64. */
export type SubmittedItem = ItemRequest & { body: string };

/** A batch job whose items are JSON values. */
export interface JsonItemsJob {
  id: string;
  route: AdmittedRequest;
  /** The items as JSON text. */
  bodies: string[];
}

/** Admits or rejects requests by readiness, configuration, policies and limits. */
export interface RequestAdmission {
  /** Admits a request. Faults: "busy" if the node is not ready or a limit is reached, "notFound" for an unknown route. */
  admit(routeName: string, headers: Record<string, string>): Result<AdmittedRequest>;
  /** Runs a task, and counts it towards the limit of its route meanwhile. */
  countLive<T>(routeName: string, task: () => Task<T>): Task<T>;
  /** Returns the maximum size of a request body by the configuration in force. */
  bodyLimitBytes(): number;
}

/** Forwards lookups: idempotent single requests, which go to an endpoint without involving a shard. */
export interface Lookups {
  /** Starts a lookup, which calls `respond` at most once. Fault: "busy" if too many lookups are pending. */
  start(
    id: string,
    request: AdmittedRequest,
    body: string,
    respond: (outcome: Result<CallerResponse>) => void,
  ): Result<{ cancel(): void }>;
}

/** Streams, and single requests that are not idempotent; a shard records their progress. */
export interface LiveRequests {
  /** Returns the request id that an idempotency key maps to. */
  idOfKey(routeName: string, key: string): string;
  /** Returns the stamp of a request that arrives now. Fault: "busy" if this node's stamps are too far ahead of its clock. */
  stampArrival(): Result<Stamp>;
  /**
   * Opens a request at its shard. The fault "busy" guarantees that the request has not run and never will; "unknown"
   * guarantees nothing.
   * @param keyed whether the id comes from an idempotency key
   */
  open(id: string, request: AdmittedRequest, body: string, keyed: boolean, arrival: Stamp): Task<Result<OpenResponse>>;
  /** Reads the chunks after a position; waits up to `waitMs` for a change, and retries for up to `withinMs`. */
  read(id: string, after: number, waitMs: number, withinMs: number): Task<Result<ReadResponse>>;
}

/** Submits and ends batch jobs at their shards. */
export interface JobSubmission {
  /**
   * Submits a job of complete requests; ok once every replica of its shard has the job. The fault "busy" guarantees that
   * this submission never takes effect; its step is "quota" if the job is over the quota. "unknown" guarantees nothing.
   */
  submit(
    id: string,
    routeName: string,
    route: Route,
    items: SubmittedItem[],
    withinMs: number,
  ): Task<Result<SubmitJobResponse>>;
  /** Submits a job of JSON items. The fault "busy" guarantees that it was not accepted; "unknown" guarantees nothing. */
  submitJsonItems(job: JsonItemsJob, arrival: Stamp): Task<Result<PutOutcome>>;
  /**
   * Ends a job; idempotent. Has the same time-out as a submission. Faults: "notFound", "gone" or "unknown"; "busy" in all
   * other cases.
   */
  end(id: string, by: string): Task<Result<EndJobResponse>>;
  /** The same with the shorter time-out of a status query. A fault "busy" of the shard's leader is returned unchanged. */
  endWithShortTimeout(id: string, by: string): Task<Result<EndJobResponse>>;
}

/** Reads batch jobs from the replicas of their shards. Faults: "notFound" and "gone" if certain; otherwise "busy". */
export interface JobReader {
  /** Returns results of a job of complete requests from a position on; waits up to `waitMs` for the first. */
  list(id: string, from: number, waitMs: number): Task<Result<JobResultPage>>;
  /** Returns up to `limit` results of a job of JSON items after a position; waits up to `waitMs` for the first. */
  results(id: string, after: number, limit: number, waitMs: number): Task<Result<JobResultsResponse>>;
  /** Returns the counts and states of a job from the shard's leader, which may also return the fault "unknown". */
  status(id: string): Task<Result<JobStatusResponse>>;
  /** Returns the body, in base64, of an item whose result is not listed yet. */
  itemBody(id: string, itemId: string): Task<Result<ItemBodyResponse>>;
}

/** Handles a batch job that was submitted by POST to the host and path of its route. */
export type BatchJobHandler = (exchange: HttpExchange, match: MatchedRoute, body: Buffer) => Task<void>;

/** Forwards requests unchanged, by their host and path. */
export interface DirectRequests {
  /** Returns whether the host and the path of the request match a route. */
  matches(exchange: HttpExchange): boolean;
  /** Serves a request until its end. Batch jobs are rejected if `submitJob` is undefined. */
  serve(exchange: HttpExchange, submitJob?: BatchJobHandler): Task<void>;
}

/** Whether a node accepts requests. */
export interface Readiness {
  readonly stopping: boolean;
  /** Returns the reason why new requests are rejected; undefined while the node is ready. */
  unreadyReason(): string | undefined;
}

/** Counters of callers' requests and their outcomes, exported as metrics. */
export interface CallerCounters {
  streams: number;
  jobs: number;
  rejections: number;
  failures: number;
  resumes: number;
}

/** The operations of an ingress that the HTTP APIs for callers use. */
export interface CallerOperations {
  readonly env: Environment;
  /** The member id of this node. */
  readonly id: string;
  readonly counters: CallerCounters;
  readonly readiness: Readiness;
  readonly admission: RequestAdmission;
  readonly lookups: Lookups;
  readonly liveRequests: LiveRequests;
  readonly jobSubmission: JobSubmission;
  readonly jobReader: JobReader;
  readonly directRequests: DirectRequests;
  /** Records a decision in the ledger that no shard records. */
  note(subject: string, decision: string, cause: Cause): void;
}
