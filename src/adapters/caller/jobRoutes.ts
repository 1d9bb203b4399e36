import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpExchange } from "../../runtime/env";
import type { PutOutcome } from "../../shard/shardTypes";
import type { SubmitJobResponse } from "../../storage/messages/batchJobMessages";
import { Http, HttpRoute } from "../http";
import { parseJob } from "./jobRequest";
import type { AdmittedRequest, CallerOperations, SubmittedItem } from "./callerOperations";

const MAX_POSITION = 1e9;
const DEFAULT_RESULTS_LIMIT = 500;
const MAX_RESULTS_LIMIT = 2000;

/** Returns a number from the query, limited to `max`. Fault: "invalid" if the parameter is not a number. */
function queryNumber(exchange: HttpExchange, name: string, defaultValue: number, max: number): Result<number> {
  const text = exchange.query.get(name);
  if (text === null) return Fault.ok(defaultValue);
  if (!/^\d{1,9}$/.test(text)) return Fault.fail("invalid", `read ${name}`, "caller", `${name} must be a whole number`);
  return Fault.ok(Math.min(+text, max));
}

/**
 * Routes that submit, read and end batch jobs.
 *
 * @example
 * const routes = new JobRoutes(operations).routes();
 */
export class JobRoutes {
  constructor(private readonly operations: CallerOperations) {}

  routes(): HttpRoute[] {
    return [
      { method: "POST", path: /^\/v1\/lots$/, run: (exchange) => this.submit(exchange) },
      { method: "GET", path: /^\/v1\/lots\/([^/]+)$/, run: (exchange, [id]) => this.status(exchange, id) },
      { method: "GET", path: /^\/v1\/lots\/([^/]+)\/results$/, run: (exchange, [id]) => this.results(exchange, id) },
      {
        method: "GET",
        path: /^\/v1\/lots\/([^/]+)\/items\/([^/]+)$/,
        run: (exchange, [id, itemId]) => this.itemBody(exchange, id, itemId),
      },
      { method: "POST", path: /^\/v1\/lots\/([^/]+)\/end$/, run: (exchange, [id]) => this.end(exchange, id) },
    ];
  }

  private *submit(exchange: HttpExchange): Task<void> {
    const { admission, env, id: member } = this.operations;
    const body = yield* Http.readJsonBody(exchange, admission.bodyLimitBytes());
    if (!body) return;
    const job = parseJob(body.value);
    if (!job.ok) return Http.sendProblem(exchange, job.fault);
    const routeName = job.value.binding;
    const admitted = admission.admit(routeName, exchange.headers);
    if (!admitted.ok) return Http.sendProblem(exchange, admitted.fault);
    if (admitted.value.route.kind !== "item") {
      const detail = `binding ${routeName} is not of kind item`;
      return Http.sendProblem(exchange, { tag: "invalid", step: "accept lot", member, detail });
    }
    const id = job.value.id ?? EnvironmentTools.randomId(env, "lot");
    if (job.value.requests) yield* this.submitRequests(exchange, id, admitted.value, job.value.requests);
    else yield* this.submitJsonItems(exchange, id, admitted.value, job.value.items!);
  }

  /** Submits a job of complete requests. A repetition also gets 202, since the caller may have lost the first response. */
  private *submitRequests(
    exchange: HttpExchange,
    id: string,
    { name, route }: AdmittedRequest,
    items: SubmittedItem[],
  ): Task<void> {
    const { counters, jobSubmission } = this.operations;
    counters.jobs += 1;
    const submitted = yield* jobSubmission.submit(id, name, route, items, Constants.jobLeaderSearchMs);
    if (!submitted.ok) {
      const isOverQuota = submitted.fault.tag === "busy" && submitted.fault.step === "quota";
      return Http.sendProblem(exchange, submitted.fault, isOverQuota ? 429 : undefined, { lot: id });
    }
    if (this.rejectKnownJob(exchange, submitted.value, "hand in")) return;
    Http.sendJson(exchange, 202, { id, items: items.length });
  }

  private *submitJsonItems(exchange: HttpExchange, id: string, route: AdmittedRequest, items: unknown[]): Task<void> {
    const { counters, jobSubmission, liveRequests } = this.operations;
    const arrival = liveRequests.stampArrival();
    if (!arrival.ok) return Http.sendProblem(exchange, arrival.fault);
    const bodies = items.map((item) => JSON.stringify(item));
    counters.jobs += 1;
    const submitted = yield* jobSubmission.submitJsonItems({ id, route, bodies }, arrival.value);
    if (!submitted.ok) return Http.sendProblem(exchange, submitted.fault, undefined, { lot: id });
    if (this.rejectKnownJob(exchange, submitted.value, "accept lot")) return;
    Http.sendJson(exchange, submitted.value.tag === "exists" ? 200 : 202, { id, items: bodies.length });
  }

  /** Returns whether the id belongs to another or a trimmed job; the submission has then been rejected with a response. */
  private rejectKnownJob(exchange: HttpExchange, outcome: SubmitJobResponse | PutOutcome, step: string): boolean {
    if (outcome.tag !== "exists") return false;
    const member = this.operations.id;
    if (outcome.state === "trimmed") {
      const detail = "the lot was done, and its results trimmed by retention";
      Http.sendProblem(exchange, { tag: "gone", step, member, detail });
      return true;
    }
    if (outcome.same) return false;
    const detail = "the lot id was used with other items";
    Http.sendProblem(exchange, { tag: "conflict", step, member, detail }, 422);
    return true;
  }

  private *status(exchange: HttpExchange, id: string): Task<void> {
    const status = yield* this.operations.jobReader.status(id);
    if (!status.ok) return Http.sendProblem(exchange, status.fault);
    Http.sendJson(exchange, 200, status.value);
  }

  private *results(exchange: HttpExchange, id: string): Task<void> {
    const after = queryNumber(exchange, "after", 0, MAX_POSITION);
    if (!after.ok) return Http.sendProblem(exchange, after.fault);
    const limit = queryNumber(exchange, "limit", DEFAULT_RESULTS_LIMIT, MAX_RESULTS_LIMIT);
    if (!limit.ok) return Http.sendProblem(exchange, limit.fault);
    const waitMs = queryNumber(exchange, "waitMs", 0, Constants.readWaitMs);
    if (!waitMs.ok) return Http.sendProblem(exchange, waitMs.fault);
    const { jobReader } = this.operations;
    const read = yield* jobReader.results(id, after.value, Math.max(1, limit.value), waitMs.value);
    if (!read.ok) return Http.sendProblem(exchange, read.fault);
    Http.sendJson(exchange, 200, { id, ...read.value, next: after.value + read.value.results.length });
  }

  private *itemBody(exchange: HttpExchange, id: string, itemId: string): Task<void> {
    const found = yield* this.operations.jobReader.itemBody(id, itemId);
    if (!found.ok) return Http.sendProblem(exchange, found.fault);
    const body = Buffer.from(found.value.body, "base64");
    exchange.send(200, { "content-type": "application/octet-stream" }, body);
  }

  private *end(exchange: HttpExchange, id: string): Task<void> {
    const by = exchange.headers["x-caller"] || "caller";
    const ended = yield* this.operations.jobSubmission.endWithShortTimeout(id, by);
    if (!ended.ok) return Http.sendProblem(exchange, ended.fault);
    Http.sendJson(exchange, 200, { id, ended: true });
  }
}
