import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools, HttpExchange, HttpRequest } from "../runtime/env";
import { DirectRequest, DirectHttp, DirectResponse } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { Http } from "../adapters/http";
import { Route } from "../controlState/configuration";
import { EndpointEligibility } from "../routing/endpointEligibility";
import { SelectionCriteria } from "../routing/selectionCriteria";
import { Fault, Result } from "../common/fault";
import { Endpoint } from "../node/clusterSnapshot";
import { Prompt, LongPromptIsolation } from "../routing/longPromptIsolation";
import { Cause } from "../shard/shardTypes";
import { MatchedRoute, RouteTable } from "../routing/routeTable";
import type { IngressNode } from "./ingressNode";

/** One request on its way: what came, and what of a stream has been passed on. */
type PendingRequest = {
  incoming: HttpExchange;
  name: string;
  binding: Route;
  direct: DirectRequest;
  cause: Cause;
  untilMono: number;
  arrivedAt: number;
  open: boolean;
  mayHaveRun: boolean;
  pool: string;
  prompt: Prompt;
};
type AttemptOutcome =
  | { tag: "replied"; status: number }
  | { tag: "gone" }
  | { tag: "unrun"; fault: Fault; sent: boolean }
  | { tag: "lost"; fault: Fault };
export type BatchJobHandler = (incoming: HttpExchange, bound: MatchedRoute, body: Buffer) => Task<void>;

/**
 * Requests that are passed on as they are, by host and path: straight to a replica, streams as their events come.
 * What may not be repeated is delivered once: only the replica's plain word that it did not run, or a connection
 * that was never made, frees another round.
 *
 * @example
 * const direct = new DirectIntake(ingress);
 * yield* direct.serve(incoming);
 */
export class DirectRequestHandler {
  private readonly env: Env;
  constructor(private readonly ingress: IngressNode) {
    this.env = ingress.env;
  }
  private bound(incoming: HttpExchange): MatchedRoute | undefined {
    const control = this.ingress.snapshot().control;
    return control && RouteTable.of(control.manifest.doc).find(incoming.headers.host ?? "", incoming.path);
  }
  /** Whether some binding is reached by this host and path. @example direct.fits(incoming) */
  fits = (incoming: HttpExchange): boolean => this.bound(incoming) !== undefined;

  /** @example yield* direct.serve(incoming, (each, bound, body) => lots.handIn(each, bound, body)) */
  *serve(incoming: HttpExchange, jobs?: BatchJobHandler): Task<void> {
    const { ingress } = this;
    const arrivedAt = this.env.mono();
    const why = ingress.rejectReason();
    if (why)
      return this.refuse(incoming, {
        tag: "busy",
        step: "accept",
        member: ingress.id,
        detail: why,
        retryAfterMs: Constants.comeBackUnreadyMs,
      });
    const bound = this.bound(incoming);
    if (!bound)
      return this.response(
        incoming,
        { tag: "notFound", step: "find binding", member: ingress.id, detail: `no binding for ${incoming.path}` },
        404,
      );
    const read: Result<Buffer> = yield* incoming.body(ingress.bodyLimitBytes());
    if (!read.ok) return this.response(incoming, read.fault, read.fault.tag === "invalid" ? 413 : 400);
    if (bound.route.kind === "item") {
      if (jobs) return yield* jobs(incoming, bound, read.value);
      return this.response(
        incoming,
        { tag: "invalid", step: "accept", member: ingress.id, detail: "this binding takes lots only" },
        400,
      );
    }
    const passing = this.passing(incoming, bound, read.value, arrivedAt);
    if (!passing.ok) return this.response(incoming, passing.fault, 400);
    yield* ingress.countLive(bound.name, () => this.pass(passing.value));
  }
  private passing(
    incoming: HttpExchange,
    { name, route: binding }: MatchedRoute,
    body: Buffer,
    arrivedAt: number,
  ): Result<PendingRequest> {
    const { names } = this.ingress;
    const { headers } = incoming;
    const asked = Number(headers[names.remainingMs]);
    const left = Math.min(binding.deadlineMs, Number.isFinite(asked) && asked > 0 ? asked : binding.deadlineMs);
    const after = headers[names.lastEventId] ?? "0";
    if (!/^\d{1,9}$/.test(after)) return Fault.fail("invalid", "read last piece", "caller", "not a piece number");
    const direct: DirectRequest = {
      method: incoming.method,
      target: incoming.target,
      headers: DirectHttp.endToEnd(headers),
      body,
      id: headers[names.requestId] ?? EnvTools.id(this.env, "req"),
      remainingMs: left,
      lastEventId: +after,
      priority: Math.min(7, binding.order ?? 5),
    };
    const prompt = LongPromptIsolation.parse(binding.affinity ? (headers[names.promptParts] ?? "") : "");
    const pool = DirectRequestHandler.poolOf(binding, this.env.random());
    if (binding.kind === "stream" && binding.pieceGapMs)
      this.ingress.endpointSelector.recordPrompt(pool, prompt, binding.pieceGapMs);
    return Fault.ok({
      incoming,
      name,
      binding,
      direct,
      cause: { manifest: this.ingress.snapshot().control!.manifest.version },
      untilMono: arrivedAt + left,
      arrivedAt,
      open: false,
      mayHaveRun: false,
      pool,
      prompt,
    });
  }
  /** The pool by weight, for a number between 0 and 1. @example DirectIntake.poolOf(binding, 0.3) */
  static poolOf(route: Route, at: number): string {
    if (!route.split?.length) return route.pool;
    let left = at * route.split.reduce((sum, share) => sum + share.weight, 0);
    for (const share of route.split) if ((left -= share.weight) < 0) return share.pool;
    return route.split.filter((share) => share.weight > 0).at(-1)!.pool;
  }

  private criteria(passing: PendingRequest, exclude: Set<string>): SelectionCriteria {
    const { name, binding: route, pool, prompt } = passing;
    const gapMs = route.kind === "stream" ? route.pieceGapMs : undefined;
    return {
      snapshot: this.ingress.snapshot(),
      pool,
      route: name,
      caller: "",
      kind: route.kind,
      prefix: prompt.parts[0]?.id ?? "",
      workClass: "live",
      exclude,
      prompt,
      chunkGapMs: gapMs,
    };
  }
  private *pass(passing: PendingRequest): Task<void> {
    const { ingress } = this;
    const { binding: route, incoming } = passing;
    const exclude = new Set<string>();
    let last: Fault | undefined;
    let sentTo = 0;
    for (;;) {
      if (incoming.gone.isClosed()) return;
      const left = passing.untilMono - this.env.mono();
      const attempts = route.rounds ?? Constants.lookupAttempts;
      const chosen = left > 0 && sentTo < attempts ? yield* this.take(passing, exclude, left) : undefined;
      if (!chosen) return this.giveUp(passing, last);
      const outcome = yield* this.attempt(passing, chosen, sentTo + 1 < attempts);
      switch (outcome.tag) {
        case "gone":
          return;
        case "replied":
          ingress.note(`request ${passing.direct.id}`, `replied ${outcome.status} from ${chosen.id}`, passing.cause);
          return;
        case "unrun":
          if (outcome.sent) sentTo += 1;
          break;
        case "lost":
          sentTo += 1;
          passing.mayHaveRun = true;
          if (!route.safe || (passing.open && route.continues !== "exact")) return this.giveUp(passing, outcome.fault);
          break;
        default: {
          const never: never = outcome;
          return never;
        }
      }
      last = outcome.fault;
      exclude.add(chosen.key);
      ingress.note(`request ${passing.direct.id}`, `round at ${chosen.id} ended: ${last.detail}`, passing.cause);
    }
  }
  /** A place at a replica: waited for only as long as a later try elsewhere is still worth something. */
  private *take(passing: PendingRequest, exclude: Set<string>, left: number): Task<Endpoint | undefined> {
    const { binding: route, pool } = passing;
    const waited = this.env.mono() - passing.arrivedAt;
    const patience = passing.open
      ? Constants.resumeWaitMs
      : (route.targetMs ?? Constants.liveWaitMs) * Constants.refuseShare - waited;
    const eligible = EndpointEligibility.inPool(this.criteria(passing, exclude));
    if (eligible.every((endpoint) => exclude.has(endpoint.key)) && exclude.size > 0) exclude.clear();
    this.ingress.counts.lookups += 1;
    return yield* this.ingress.admissionQueue.acquire(
      () => this.criteria(passing, exclude),
      route.order ?? 100,
      passing.arrivedAt,
      Math.min(left, patience),
      pool,
    );
  }
  private giveUp(passing: PendingRequest, last: Fault | undefined): void {
    const { ingress } = this;
    const fault: Fault = last ?? {
      tag: "busy",
      step: "choose",
      member: ingress.id,
      detail: `no room in pool ${passing.pool}`,
      retryAfterMs: Constants.comeBackMs,
    };
    ingress.note(`request ${passing.direct.id}`, `given up: ${fault.detail}`, passing.cause);
    if (passing.open) return passing.incoming.abort();
    if (!passing.mayHaveRun)
      return this.refuse(passing.incoming, {
        tag: "busy",
        step: fault.step,
        member: fault.member,
        detail: fault.detail,
        retryAfterMs: Constants.comeBackMs,
      });
    ingress.counts.failures += 1;
    this.response(passing.incoming, fault, this.env.mono() >= passing.untilMono ? 504 : 502);
  }
  /** A promise that it did not run and never will, with when to come back. */
  private refuse(incoming: HttpExchange, fault: Extract<Fault, { tag: "busy" }>): void {
    this.ingress.counts.busies += 1;
    this.response(incoming, fault, 503, {
      "retry-after": ((fault.retryAfterMs * (0.85 + 0.3 * this.env.random())) / 1000).toFixed(2),
    });
  }
  private response(incoming: HttpExchange, fault: Fault, status: number, headers: Record<string, string> = {}): void {
    const close = this.ingress.stopping || status === 413 ? { connection: "close" } : {};
    incoming.send(
      status,
      { "content-type": "application/problem+json", ...headers, ...close } as Record<string, string>,
      JSON.stringify(Http.problemOf(fault, status)),
    );
  }

  /** One replica tried, its place given back whatever comes. */
  private *attempt(passing: PendingRequest, endpoint: Endpoint, more: boolean): Task<AttemptOutcome> {
    const { binding: route, direct } = passing;
    const { admissionQueue: room } = this.ingress;
    const left = passing.untilMono - this.env.mono();
    const patience = route.safe && more ? Math.min(left, Math.max(Constants.headMs, 2 * (route.targetMs ?? 0))) : left;
    const cancellation: NonNullable<HttpRequest["cancellation"]> = {};
    // nobody waits for it any more: the replica need not go on
    passing.incoming.onGone = () => cancellation.cancel?.();
    const opened = yield* DirectHttp.open(
      this.env,
      this.ingress.names,
      endpoint,
      { ...direct, remainingMs: left },
      patience,
      cancellation,
    );
    if (!opened.ok && passing.incoming.gone.isClosed()) {
      room.release(endpoint, true);
      return { tag: "gone" };
    }
    if (!opened.ok) {
      const unrun = opened.fault.tag === "refused";
      const sent = opened.fault.step === "deliver";
      // a connection that is not taken, or a silence, says more than a single bad reply
      room.release(endpoint, unrun && sent, !sent && opened.fault.tag !== "broken");
      return unrun ? { tag: "unrun", fault: opened.fault, sent } : { tag: "lost", fault: opened.fault };
    }
    const outcome = yield* this.relay(passing, endpoint, opened.value, patience);
    passing.incoming.onGone = undefined;
    room.release(endpoint, outcome.tag !== "lost", outcome.tag === "lost" && outcome.fault.tag === "timeout");
    return outcome;
  }
  private *relay(
    passing: PendingRequest,
    endpoint: Endpoint,
    opened: DirectResponse,
    firstWithin: number,
  ): Task<AttemptOutcome> {
    const { binding: route, incoming } = passing;
    const { names } = this.ingress;
    const streams = opened.status === 200 && (opened.headers["content-type"] ?? "").startsWith("text/event-stream");
    if (
      opened.status < 300 &&
      names.endpointSignature !== "" &&
      opened.headers[names.endpointSignature] === undefined
    ) {
      opened.response.abort();
      return {
        tag: "lost",
        fault: {
          tag: "broken",
          step: "check reply",
          member: endpoint.id,
          detail: "a success without the replica's mark",
        },
      };
    }
    if (streams) return yield* this.stream(passing, endpoint, opened, firstWithin);
    const body = yield* DirectHttp.readBody(this.env, opened, passing.untilMono - this.env.mono());
    if (!body && incoming.gone.isClosed()) return { tag: "gone" };
    if (!body)
      return {
        tag: "lost",
        fault: {
          tag: "broken",
          step: "read reply",
          member: endpoint.id,
          detail: "reply was cut, too long or too slow",
        },
      };
    if (passing.open || Http.promisesNotRun(opened.status) || (opened.status >= 500 && route.safe)) {
      return {
        tag: "lost",
        fault: { tag: "broken", step: "read reply", member: endpoint.id, detail: `replica replied ${opened.status}` },
      };
    }
    const close = this.ingress.stopping ? { connection: "close" } : {};
    incoming.send(opened.status, { ...opened.headers, ...close } as Record<string, string>, body);
    return { tag: "replied", status: opened.status };
  }
  private *stream(
    passing: PendingRequest,
    endpoint: Endpoint,
    opened: DirectResponse,
    firstWithin: number,
  ): Task<AttemptOutcome> {
    const { binding: route, incoming, direct } = passing;
    const pieces = new EventStreamReader(this.env, endpoint.id, opened.response, direct.lastEventId);
    const exact = route.safe && route.continues === "exact";
    for (let first = true; ; first = false) {
      const left = passing.untilMono - this.env.mono();
      const silence = first
        ? firstWithin
        : exact
          ? Math.max(Constants.silentPieceMs, 3 * (route.pieceGapMs ?? 0))
          : left;
      const got = yield* pieces.next(Math.min(left, silence));
      if (incoming.gone.isClosed()) {
        opened.response.abort();
        return { tag: "gone" };
      }
      if (!got.ok) return { tag: "lost", fault: got.fault };
      if (!passing.open) {
        const close = this.ingress.stopping ? { connection: "close" } : {};
        incoming.open(opened.status, { ...opened.headers, ...close } as Record<string, string>);
        passing.open = true;
      }
      if (got.value === undefined) {
        incoming.end();
        return { tag: "replied", status: opened.status };
      }
      incoming.write(got.value.length === 1 ? got.value[0].raw : Buffer.concat(got.value.map((piece) => piece.raw)));
      direct.lastEventId = pieces.lastId;
    }
  }
}
