import type { BatchJobHandler, DirectRequests } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { EndpointEligibility } from "../routing/endpointEligibility";
import { MatchedRoute, RouteTable } from "../routing/routeTable";
import { Task } from "../runtime/csp";
import { HttpExchange } from "../runtime/env";
import type { DirectContext } from "./directContext";
import { DirectResponses } from "./directResponses";
import { AttemptOutcome, EndpointAttempt } from "./endpointAttempt";
import { PendingDirectRequest, readDirectRequest, selectionCriteria } from "./pendingDirectRequest";

/** Priority in the admission queue if the route sets none. */
const DEFAULT_PRIORITY = 100;

/**
 * Forwards requests unchanged by host and path, and retries them at other endpoints; streams are relayed event by event. A
 * request that is not idempotent is delivered once: another attempt is allowed only after an endpoint's explicit refusal, or
 * if no connection was established.
 */
export class DirectRequestHandler implements DirectRequests {
  private readonly responses: DirectResponses;
  constructor(private readonly context: DirectContext) {
    this.responses = new DirectResponses(context);
  }

  matches(exchange: HttpExchange): boolean {
    return this.findRoute(exchange) !== undefined;
  }

  *serve(exchange: HttpExchange, submitJob?: BatchJobHandler): Task<void> {
    const { admission, env, id: member, readiness } = this.context;
    const arrivedAt = env.monotonicMs();
    exchange.mayHaveRun = false;
    const rejectReason = readiness.rejectReason();
    if (rejectReason)
      return this.responses.reject(exchange, "accept", member, rejectReason, Constants.unreadyRetryAfterMs);
    const match = this.findRoute(exchange);
    if (!match) {
      const detail = `no binding for ${exchange.path}`;
      return this.responses.fail(exchange, { tag: "notFound", step: "find binding", member, detail }, 404);
    }
    const body: Result<Buffer> = yield* exchange.body(admission.bodyLimitBytes());
    if (!body.ok) return this.rejectUnread(exchange, body.fault);
    if (match.route.kind === "item") return yield* this.serveJob(exchange, match, body.value, submitJob);
    const pending = this.read(exchange, match, body.value, arrivedAt);
    if (!pending.ok) return this.responses.fail(exchange, pending.fault, 400);
    yield* admission.countLive(match.name, () => this.forward(pending.value));
  }

  private rejectUnread(exchange: HttpExchange, fault: Fault): void {
    const { step, member, detail } = fault;
    if (fault.tag === "busy") return this.responses.reject(exchange, step, member, detail, fault.retryAfterMs);
    this.responses.fail(exchange, fault, fault.tag === "invalid" ? 413 : 400);
  }

  private findRoute(exchange: HttpExchange): MatchedRoute | undefined {
    const control = this.context.snapshot().control;
    return control && RouteTable.of(control.manifest.doc).find(exchange.headers.host ?? "", exchange.path);
  }

  private *serveJob(
    exchange: HttpExchange,
    match: MatchedRoute,
    body: Buffer,
    submitJob: BatchJobHandler | undefined,
  ): Task<void> {
    const clockReason = this.context.readiness.clockReason();
    if (clockReason)
      return this.responses.reject(exchange, "accept", this.context.id, clockReason, Constants.unreadyRetryAfterMs);
    exchange.mayHaveRun = submitJob !== undefined;
    if (submitJob) return yield* submitJob(exchange, match, body);
    const detail = "this binding takes lots only";
    this.responses.fail(exchange, { tag: "invalid", step: "accept", member: this.context.id, detail }, 400);
  }

  private read(
    exchange: HttpExchange,
    match: MatchedRoute,
    body: Buffer,
    arrivedAt: number,
  ): Result<PendingDirectRequest> {
    const { env, headerNames } = this.context;
    const version = this.context.snapshot().control!.manifest.version;
    return readDirectRequest(env, headerNames, exchange, match, body, arrivedAt, version);
  }

  /** Makes attempts until one succeeds, no further attempt is allowed, or the deadline has passed. */
  private *forward(pending: PendingDirectRequest): Task<void> {
    const { exchange, route } = pending;
    const exclude = new Set<string>();
    const maxAttempts = route.rounds ?? Constants.lookupAttempts;
    let lastFault: Fault | undefined;
    for (let deliveries = 0; ;) {
      if (exchange.disconnected.isClosed()) return;
      const leftMs = pending.deadlineAt - this.context.env.monotonicMs();
      const endpoint =
        leftMs > 0 && deliveries < maxAttempts ? yield* this.acquire(pending, exclude, leftMs) : undefined;
      if (!endpoint) return this.giveUp(pending, lastFault);
      const attempt = new EndpointAttempt(this.context, pending, endpoint);
      const outcome = yield* attempt.run(deliveries + 1 < maxAttempts);
      if (outcome.tag === "callerDisconnected") return;
      if (outcome.tag === "responded") return this.note(pending, `replied ${outcome.status} from ${endpoint.id}`);
      if (outcome.tag === "failed") pending.mayHaveRun = true;
      if (!this.mayRetry(pending, outcome)) return this.giveUp(pending, outcome.fault);
      if (outcome.tag === "failed" || outcome.delivered) deliveries += 1;
      lastFault = outcome.fault;
      exclude.add(endpoint.key);
      this.note(pending, `round at ${endpoint.id} ended: ${lastFault.detail}`);
    }
  }

  /** After a failure only an idempotent request may be retried, and a stream that has begun only if it is resumable. */
  private mayRetry({ route, responseOpen }: PendingDirectRequest, outcome: AttemptOutcome): boolean {
    if (outcome.tag !== "failed") return true;
    return route.safe && (!responseOpen || route.continues === "exact");
  }

  /** Acquires an endpoint; waits only so long that a retry by the caller elsewhere can still meet the latency target. */
  private *acquire(pending: PendingDirectRequest, exclude: Set<string>, leftMs: number): Task<Endpoint | undefined> {
    const { admissionQueue, counters, env } = this.context;
    const { arrivedAt, pool, responseOpen, route } = pending;
    const waitedMs = env.monotonicMs() - arrivedAt;
    const maxWaitMs = responseOpen
      ? Constants.resumeWaitMs
      : (route.targetMs ?? Constants.admissionWaitMaxMs) * Constants.admissionWaitShare - waitedMs;
    const makeCriteria = () => selectionCriteria(pending, this.context.snapshot(), exclude);
    const eligible = EndpointEligibility.inPool(makeCriteria());
    // Once every endpoint has failed, all of them may be tried again.
    if (eligible.every((endpoint) => exclude.has(endpoint.key)) && exclude.size > 0) exclude.clear();
    counters.lookups += 1;
    const withinMs = Math.min(leftMs, maxWaitMs);
    return yield* admissionQueue.acquire(makeCriteria, route.order ?? DEFAULT_PRIORITY, arrivedAt, withinMs, pool);
  }

  private giveUp(pending: PendingDirectRequest, lastFault: Fault | undefined): void {
    const { counters, env, id } = this.context;
    const { exchange } = pending;
    const fault: Fault = lastFault ?? {
      tag: "busy",
      step: "choose",
      member: id,
      detail: `no room in pool ${pending.pool}`,
      retryAfterMs: Constants.overloadRetryAfterMs,
    };
    const { step, member, detail } = fault;
    this.note(pending, `given up: ${detail}`);
    if (pending.responseOpen) return exchange.abort();
    if (!pending.mayHaveRun)
      return this.responses.reject(exchange, step, member, detail, Constants.overloadRetryAfterMs);
    counters.failures += 1;
    this.responses.fail(exchange, fault, env.monotonicMs() >= pending.deadlineAt ? 504 : 502);
  }

  private note({ forwarded, cause }: PendingDirectRequest, decision: string): void {
    this.context.notes.add(`request ${forwarded.id}`, decision, cause);
  }
}
