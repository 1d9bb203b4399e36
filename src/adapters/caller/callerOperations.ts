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

/** What an endpoint responded to a lookup. */
export interface CallerResponse {
  status: number;
  /** JSON text. */
  body: string;
}

/** A request that passed admission, with what the configuration and policies say of it. */
export interface AdmittedRequest {
  /** The name of its route. */
  name: string;
  route: Route;
  /** The caller's name; empty where it gave none. */
  caller: string;
  /** Priority; the lowest number is served first. */
  order: number;
  /** The configuration and policy that admitted it, for the ledger. */
  cause: Cause;
  /** Time for the entire request in ms. */
  deadlineMs: number;
}

/** An item of a batch job as a caller submits it: a complete request, its body in base64. */
export type SubmittedItem = ItemRequest & { body: string };

/** A job whose items are JSON values of a named route. */
export interface JsonItemsJob {
  id: string;
  route: AdmittedRequest;
  /** The JSON texts of the items. */
  bodies: string[];
}

/** Decides which requests come in, by readiness, configuration, policies and limits. */
export interface RequestAdmission {
  /** Faults: "busy" while the node is not ready or a limit is reached, "notFound" for an unknown route. */
  admit(routeName: string, headers: Record<string, string>): Result<AdmittedRequest>;
  /** Counts a request towards its route's limit while the task runs. */
  countLive<T>(routeName: string, task: () => Task<T>): Task<T>;
  /** The largest request body by the configuration in force. */
  bodyLimitBytes(): number;
}

/** Idempotent single requests, which go to an endpoint without a shard. */
export interface Lookups {
  /** Calls `respond` at most once with the outcome; a fault "busy" if too many lookups are pending. */
  start(
    id: string,
    request: AdmittedRequest,
    body: string,
    respond: (outcome: Result<CallerResponse>) => void,
  ): Result<{ cancel(): void }>;
}

/** Streams, and single requests that may not be repeated: a shard records what they do. */
export interface LiveRequests {
  /** The request id that an idempotency key stands for. */
  idOfKey(routeName: string, key: string): string;
  /** The stamp of an arrival; a fault "busy" if this node's stamps are too far ahead of its clock. */
  stampArrival(): Result<Stamp>;
  /**
   * Opens a request at its shard. "busy" promises that it never ran and never will; "unknown" promises nothing.
   * `keyed` says that the id comes from an idempotency key.
   */
  open(id: string, request: AdmittedRequest, body: string, keyed: boolean, arrival: Stamp): Task<Result<OpenResponse>>;
  /** Reads the chunks after a position; waits up to waitMs for a change, and tries for withinMs. */
  read(id: string, after: number, waitMs: number, withinMs: number): Task<Result<ReadResponse>>;
}

/** Submits and ends batch jobs at their shards. */
export interface JobSubmission {
  /**
   * Submits a job of complete requests; ok once every replica of its shard has it. "busy" promises that this submission never
   * takes effect, with the step "quota" if it did not fit; "unknown" promises nothing.
   */
  submit(
    id: string,
    routeName: string,
    route: Route,
    items: SubmittedItem[],
    withinMs: number,
  ): Task<Result<SubmitJobResponse>>;
  /** Submits a job of JSON items; "busy" promises that it was not accepted, "unknown" promises nothing. */
  submitJsonItems(job: JsonItemsJob, arrival: Stamp): Task<Result<PutOutcome>>;
  /** Ends a job, for as long as a submission is tried; idempotent. Faults: "notFound", "gone", "unknown", else "busy". */
  end(id: string, by: string): Task<Result<EndJobResponse>>;
  /** The same with the shorter patience of a status query; a fault "busy" of the shard's leader is passed on as it is. */
  endWithShortTimeout(id: string, by: string): Task<Result<EndJobResponse>>;
}

/** Reads batch jobs from the replicas of their shards. "notFound" and "gone" are certain, all else is "busy". */
export interface JobReader {
  /** The results of a job of complete requests from a position on; waits up to waitMs for the first. */
  list(id: string, from: number, waitMs: number): Task<Result<JobResultPage>>;
  /** Results of a job of JSON items after a position, at most `limit`; waits up to waitMs for the first. */
  results(id: string, after: number, limit: number, waitMs: number): Task<Result<JobResultsResponse>>;
  /** Counts and states, by the shard's leader, which may also respond "unknown". */
  status(id: string): Task<Result<JobStatusResponse>>;
  /** The body, in base64, of an item that is not listed yet. */
  itemBody(id: string, itemId: string): Task<Result<ItemBodyResponse>>;
}

/** Handles the submission of a batch job that was posted under its route's host and path. */
export type BatchJobHandler = (exchange: HttpExchange, match: MatchedRoute, body: Buffer) => Task<void>;

/** Requests that are forwarded unchanged, by host and path. */
export interface DirectRequests {
  /** Whether some route is reached by the request's host and path. */
  matches(exchange: HttpExchange): boolean;
  /** Serves a request to its end; without `submitJob`, batch jobs are rejected. */
  serve(exchange: HttpExchange, submitJob?: BatchJobHandler): Task<void>;
}

/** What a node may serve now. */
export interface Readiness {
  readonly stopping: boolean;
  /** Why new work is rejected; undefined while the node is ready. */
  unreadyReason(): string | undefined;
}

/** Counts of what callers did and got; see the metrics of the same meaning. */
export interface CallerCounters {
  streams: number;
  jobs: number;
  rejections: number;
  failures: number;
  resumes: number;
}

/** What the HTTP surfaces for callers need of the ingress they run in. */
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
  /** Records a decision that no shard records. */
  note(subject: string, decision: string, cause: Cause): void;
}
