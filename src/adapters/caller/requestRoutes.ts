import { Constants } from "../../common/constants";
import { Result } from "../../common/fault";
import { Csp, Task } from "../../runtime/csp";
import { EnvironmentTools, HttpExchange } from "../../runtime/env";
import type { OpenResponse } from "../../storage/messages/liveRequestMessages";
import { Http, HttpRoute } from "../http";
import type { AdmittedRequest, CallerOperations, CallerResponse } from "./callerOperations";
import { respondWhenClosed, StreamRelay } from "./liveResponse";
import type { Stamp } from "../../common/stamp";

const isJsonObject = (value: unknown): boolean => typeof value === "object" && value !== null && !Array.isArray(value);

/**
 * Routes that send requests by route name, and resume streams after a lost connection.
 *
 * @example
 * const routes = new RequestRoutes(operations).routes();
 */
export class RequestRoutes {
  constructor(private readonly operations: CallerOperations) {}

  routes(): HttpRoute[] {
    return [
      {
        method: "POST",
        path: /^\/v1\/requests\/([^/]+)$/,
        run: (exchange, [routeName]) => this.request(exchange, routeName),
      },
      {
        method: "GET",
        path: /^\/v1\/streams\/([^/]+)$/,
        run: (exchange, [requestId]) => this.resume(exchange, requestId),
      },
    ];
  }

  private *request(exchange: HttpExchange, routeName: string): Task<void> {
    const { admission, liveRequests } = this.operations;
    const admitted = admission.admit(routeName, exchange.headers);
    if (!admitted.ok) return Http.sendProblem(exchange, admitted.fault);
    const body = yield* Http.readJsonBody(exchange, admission.bodyLimitBytes());
    if (!body) return;
    if (!isJsonObject(body.value)) {
      const detail = "body must be a JSON object";
      return Http.sendProblem(exchange, { tag: "invalid", step: "read body", member: "caller", detail });
    }
    const arrival = liveRequests.stampArrival();
    if (!arrival.ok) return Http.sendProblem(exchange, arrival.fault);
    const { route } = admitted.value;
    const isLookup = route.kind === "lookup" && route.safe;
    yield* admission.countLive(routeName, () =>
      isLookup
        ? this.lookup(exchange, admitted.value, body.text)
        : this.liveRequest(exchange, admitted.value, body.text, arrival.value),
    );
  }

  /** Serves an idempotent single request, without involving a shard. */
  private *lookup(exchange: HttpExchange, request: AdmittedRequest, body: string): Task<void> {
    const requestId = EnvironmentTools.randomId(this.operations.env, "req");
    const responded = Csp.chan<true>(1);
    const respond = (outcome: Result<CallerResponse>): void => {
      if (outcome.ok) {
        const headers = { "content-type": "application/json", "x-request-id": requestId };
        exchange.send(outcome.value.status, headers, outcome.value.body);
      } else Http.sendProblem(exchange, outcome.fault, undefined, { requestId });
      responded.close();
    };
    const lookup = this.operations.lookups.start(requestId, request, body, respond);
    if (!lookup.ok) return Http.sendProblem(exchange, lookup.fault);
    yield* Csp.select([responded, exchange.disconnected]);
    lookup.value.cancel();
  }

  /** Serves a stream, or a single request that is not idempotent; its shard records it. */
  private *liveRequest(exchange: HttpExchange, request: AdmittedRequest, body: string, arrival: Stamp): Task<void> {
    const { operations } = this;
    const { env, liveRequests } = operations;
    const key = exchange.headers["idempotency-key"];
    const requestId = key ? liveRequests.idOfKey(request.name, key) : EnvironmentTools.randomId(env, "req");
    const deadline = env.monotonicMs() + request.deadlineMs;
    operations.counters.streams += 1;
    const opened = yield* liveRequests.open(requestId, request, body, key !== undefined, arrival);
    if (!opened.ok) {
      if (opened.fault.tag === "busy")
        operations.note(`request ${requestId}`, `refused as busy: ${opened.fault.detail}`, request.cause);
      return Http.sendProblem(exchange, opened.fault, undefined, { requestId });
    }
    if (this.rejectKnownKey(exchange, opened.value)) return;
    if (request.route.kind === "stream") yield* new StreamRelay(operations, exchange, requestId, 0, deadline).run(true);
    else yield* respondWhenClosed(operations, exchange, requestId, deadline);
  }

  /**
   * Returns whether the idempotency key belongs to a trimmed request or one with another body; this request has then been
   * rejected with a response.
   */
  private rejectKnownKey(exchange: HttpExchange, opened: OpenResponse): boolean {
    if (opened.tag !== "exists") return false;
    const member = this.operations.id;
    if (opened.state === "trimmed") {
      const detail = "the idempotency key was used, and its reply trimmed by retention";
      Http.sendProblem(exchange, { tag: "gone", step: "open", member, detail });
      return true;
    }
    if (opened.same || opened.state === "refused") return false;
    const detail = "the idempotency key was used with another body";
    Http.sendProblem(exchange, { tag: "conflict", step: "open", member, detail }, 422);
    return true;
  }

  private *resume(exchange: HttpExchange, requestId: string): Task<void> {
    const { counters, env, id: member, readiness } = this.operations;
    const unreadyReason = readiness.unreadyReason();
    if (unreadyReason) {
      const { retryAfterMs } = Constants;
      return Http.sendProblem(exchange, { tag: "busy", step: "accept", member, detail: unreadyReason, retryAfterMs });
    }
    const lastEventId = exchange.headers["last-event-id"] ?? exchange.query.get("after") ?? "0";
    if (!/^\d{1,9}$/.test(lastEventId)) {
      const detail = "not a piece number";
      return Http.sendProblem(exchange, { tag: "invalid", step: "read Last-Event-ID", member: "caller", detail });
    }
    counters.resumes += 1;
    const deadline = env.monotonicMs() + Constants.defaultDeadlineMs;
    yield* new StreamRelay(this.operations, exchange, requestId, +lastEventId, deadline).run(false);
  }
}
