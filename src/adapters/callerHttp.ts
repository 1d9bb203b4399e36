import { RequestOf, ResponseOf } from "../rpc/methods";
import { Constants } from "../common/constants";
import { Csp, Task } from "../runtime/csp";
import { EnvTools, HttpExchange } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Hash } from "../common/hash";
import type { AdmittedRequest, IngressNode, CallerResponse } from "../ingress/ingressNode";
import { SubmittedItem, BatchSubmission } from "../ingress/batchSubmission";
import { Http, HttpRoute } from "./http";
import { OperatorSchemas } from "./operatorSchemas";

/* eslint-disable @typescript-eslint/no-explicit-any */
const sse = (event: string, data: unknown, id?: number): string =>
  `${id === undefined ? "" : `id: ${id}\n`}event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;

/** How a closed request that did not end well is told. */
function closedFault(state: string, outcome: string, id: string): { fault: Fault; status: number } {
  let told: { detail?: string; status?: number; retryAfterMs?: number };
  try {
    told = JSON.parse(outcome || "{}");
  } catch {
    told = { detail: outcome };
  }
  const detail = told.detail ?? state;
  switch (state) {
    case "refused":
      return {
        fault: {
          tag: "busy",
          step: "run",
          member: id,
          detail,
          retryAfterMs: told.retryAfterMs ?? Constants.retryAfterMs,
        },
        status: 503,
      };
    case "unknown":
      return { fault: { tag: "unknown", step: "run", member: id, detail }, status: 504 };
    default:
      return {
        fault: { tag: "broken", step: "run", member: id, detail },
        status: told.status && told.status >= 400 && told.status < 500 ? told.status : 502,
      };
  }
}

/**
 * The callers' shape of the HTTP surface: requests, streams, lots.
 *
 * @example
 * const routes = CallerHttp.routes(ingress);
 */
export const CallerHttp = {
  routes(ingress: IngressNode): HttpRoute[] {
    const { env } = ingress;

    /** Pieces from the shard to the caller, each once and in order. */
    const relay = function* (
      incoming: HttpExchange,
      id: string,
      from: number,
      untilMono: number,
      notFoundIsBusy: boolean,
    ): Task<void> {
      let after = from;
      let open = false;
      const start = (): void => {
        if (!open)
          incoming.open(200, { "content-type": "text/event-stream", "cache-control": "no-store", "x-request-id": id });
        open = true;
      };
      const fail = (fault: Fault, status?: number): void => {
        ingress.counts.failures += 1;
        if (!open) return Http.problem(incoming, fault, status, { requestId: id });
        incoming.write(sse("error", Http.problemOf(fault, status ?? 504, fault.tag, { requestId: id, after })));
        incoming.end();
      };
      for (;;) {
        if (incoming.gone.isClosed()) return;
        if (ingress.stopping && open) {
          incoming.write(
            sse("move", { requestId: id, after, detail: "this node is stopping: go on elsewhere with Last-Event-ID" }),
          );
          incoming.end();
          return;
        }
        const read: Result<any> = yield* ingress.read(
          id,
          after,
          800,
          Math.max(1000, Math.min(Constants.streamPatienceMs, untilMono - env.mono())),
        );
        if (!read.ok) {
          if (read.fault.tag === "notFound" && notFoundIsBusy)
            return fail({ tag: "unknown", step: "read", member: read.fault.member, detail: read.fault.detail });
          return fail(read.fault, read.fault.tag === "notFound" ? 404 : read.fault.tag === "gone" ? 410 : 504);
        }
        for (const piece of read.value.pieces) {
          if (piece.n !== after + 1)
            return fail({
              tag: "internal",
              step: "relay",
              member: ingress.id,
              detail: `piece ${piece.n} after ${after}`,
            });
          start();
          incoming.write(sse("piece", { piece: piece.data }, piece.n));
          after = piece.n;
        }
        if (read.value.closed) {
          if (read.value.state === "done") {
            start();
            incoming.write(sse("end", { pieces: after }));
            incoming.end();
            return;
          }
          const { fault, status } = closedFault(read.value.state, read.value.outcome, id);
          if (fault.tag === "busy") ingress.counts.busies += 1;
          return fail(fault, status);
        }
        if (env.mono() > untilMono + Constants.streamPatienceMs)
          return fail({ tag: "unknown", step: "relay", member: ingress.id, detail: "no end in time" });
      }
    };
    /** The whole reply of a single request held by a shard. */
    const single = function* (incoming: HttpExchange, id: string, untilMono: number): Task<void> {
      for (;;) {
        const read: Result<any> = yield* ingress.read(
          id,
          0,
          800,
          Math.max(1000, Math.min(Constants.streamPatienceMs, untilMono - env.mono())),
        );
        if (!read.ok)
          return Http.problem(
            incoming,
            { tag: "unknown", step: read.fault.step, member: read.fault.member, detail: read.fault.detail },
            504,
            { requestId: id },
          );
        if (read.value.closed) {
          if (read.value.state === "done")
            return incoming.send(
              200,
              { "content-type": "application/json", "x-request-id": id },
              read.value.pieces[0].data,
            );
          const { fault, status } = closedFault(read.value.state, read.value.outcome, id);
          return Http.problem(incoming, fault, status, { requestId: id });
        }
        if (env.mono() > untilMono + Constants.streamPatienceMs)
          return Http.problem(
            incoming,
            { tag: "unknown", step: "read", member: ingress.id, detail: "no end in time" },
            504,
            { requestId: id },
          );
      }
    };
    const lookup = function* (incoming: HttpExchange, id: string, accepted: AdmittedRequest, body: string): Task<void> {
      const response = Csp.chan<true>(1);
      const ticket = ingress.requestTable.open((outcome: Result<CallerResponse>) => {
        if (outcome.ok)
          incoming.send(
            outcome.value.status,
            { "content-type": "application/json", "x-request-id": id },
            outcome.value.body,
          );
        else Http.problem(incoming, outcome.fault, undefined, { requestId: id });
        response.close();
      });
      if (!ticket)
        return Http.problem(incoming, {
          tag: "busy",
          step: "accept",
          member: ingress.id,
          detail: "too many requests at once",
          retryAfterMs: Constants.retryAfterMs,
        });
      Csp.go(env.scope, `lookup ${id}`, () => ingress.lookup(ticket, id, accepted, body));
      yield* Csp.select([response, incoming.gone]);
      if (ingress.requestTable.isOpen(ticket)) ingress.requestTable.cancel(ticket);
    };
    const request = function* (incoming: HttpExchange, [name]: string[]): Task<void> {
      const accepted = ingress.accept(name, incoming.headers);
      if (!accepted.ok) return Http.problem(incoming, accepted.fault);
      const read = yield* Http.body(incoming, ingress.bodyLimitBytes());
      if (!read) return;
      if (typeof read.value !== "object" || read.value === null || Array.isArray(read.value))
        return Http.problem(incoming, {
          tag: "invalid",
          step: "read body",
          member: "caller",
          detail: "body must be a JSON object",
        });
      const stamp = ingress.stamp();
      if (!stamp.ok) return Http.problem(incoming, stamp.fault);
      const { route } = accepted.value;
      yield* ingress.countLive(name, function* () {
        if (route.kind === "lookup" && route.safe)
          return yield* lookup(incoming, EnvTools.id(env, "req"), accepted.value, read.text);
        const key = incoming.headers["idempotency-key"];
        const id = key ? ingress.keyedId(name, key) : EnvTools.id(env, "req");
        const untilMono = env.mono() + accepted.value.deadlineMs;
        ingress.counts.streams += 1;
        const opened = yield* ingress.open(
          id,
          accepted.value,
          read.text,
          Hash.text(read.text),
          key !== undefined,
          stamp.value,
        );
        if (!opened.ok) {
          if (opened.fault.tag === "busy")
            ingress.note(`request ${id}`, `refused as busy: ${opened.fault.detail}`, accepted.value.cause);
          return Http.problem(incoming, opened.fault, undefined, { requestId: id });
        }
        if (opened.value.tag === "exists" && opened.value.state === "trimmed")
          return Http.problem(incoming, {
            tag: "gone",
            step: "open",
            member: ingress.id,
            detail: "the idempotency key was used, and its reply trimmed by retention",
          });
        if (opened.value.tag === "exists" && !opened.value.same && opened.value.state !== "refused")
          return Http.problem(
            incoming,
            {
              tag: "conflict",
              step: "open",
              member: ingress.id,
              detail: "the idempotency key was used with another body",
            },
            422,
          );
        if (route.kind === "stream") yield* relay(incoming, id, 0, untilMono, true);
        else yield* single(incoming, id, untilMono);
      });
    };
    const resume = function* (incoming: HttpExchange, [id]: string[]): Task<void> {
      const why = ingress.unreadyReason();
      if (why)
        return Http.problem(incoming, {
          tag: "busy",
          step: "accept",
          member: ingress.id,
          detail: why,
          retryAfterMs: Constants.retryAfterMs,
        });
      const last = incoming.headers["last-event-id"] ?? incoming.query.get("after") ?? "0";
      if (!/^\d{1,9}$/.test(last))
        return Http.problem(incoming, {
          tag: "invalid",
          step: "read Last-Event-ID",
          member: "caller",
          detail: "not a piece number",
        });
      ingress.counts.resumes += 1;
      yield* relay(incoming, id, +last, env.mono() + Constants.requestDeadlineMs, false);
    };

    /** A lot whose items are whole requests: 202 also for a repeat, since each of its callers may have lost the first reply. */
    const handIn = function* (
      incoming: HttpExchange,
      id: string,
      accepted: AdmittedRequest,
      items: SubmittedItem[],
    ): Task<void> {
      ingress.counts.lots += 1;
      const handed = yield* BatchSubmission.submit(
        ingress,
        id,
        accepted.name,
        accepted.route,
        items,
        Constants.jobHoldMs,
      );
      if (!handed.ok)
        return Http.problem(
          incoming,
          handed.fault,
          handed.fault.tag === "busy" && handed.fault.step === "quota" ? 429 : undefined,
          { lot: id },
        );
      if (handed.value.tag === "exists" && handed.value.state === "trimmed")
        return Http.problem(incoming, {
          tag: "gone",
          step: "hand in",
          member: ingress.id,
          detail: "the lot was done, and its results trimmed by retention",
        });
      if (handed.value.tag === "exists" && !handed.value.same)
        return Http.problem(
          incoming,
          { tag: "conflict", step: "hand in", member: ingress.id, detail: "the lot id was used with other items" },
          422,
        );
      Http.json(incoming, 202, { id, items: items.length });
    };
    const acceptJob = function* (incoming: HttpExchange): Task<void> {
      const body = yield* Http.body(incoming, ingress.bodyLimitBytes());
      if (!body) return;
      const checked = OperatorSchemas.job(body.value);
      if (!checked.ok) return Http.problem(incoming, checked.fault);
      const accepted = ingress.accept(checked.value.binding, incoming.headers);
      if (!accepted.ok) return Http.problem(incoming, accepted.fault);
      if (accepted.value.route.kind !== "item")
        return Http.problem(incoming, {
          tag: "invalid",
          step: "accept lot",
          member: ingress.id,
          detail: `binding ${checked.value.binding} is not of kind item`,
        });
      const id = checked.value.id ?? EnvTools.id(env, "lot");
      if (checked.value.requests) return yield* handIn(incoming, id, accepted.value, checked.value.requests);
      const stamp = ingress.stamp();
      if (!stamp.ok) return Http.problem(incoming, stamp.fault);
      const bodies = checked.value.items!.map((item) => JSON.stringify(item));
      const job = {
        id,
        binding: accepted.value.name,
        bodyHash: Hash.text(JSON.stringify([accepted.value.name, bodies])),
        bodies,
        safe: accepted.value.route.safe,
        order: accepted.value.order,
        kept: accepted.value.route,
      };
      ingress.counts.lots += 1;
      let first = true;
      const done: Result<any> = yield* ingress.shardClient.callLeader(
        ingress.shardClient.shardOf(id),
        "lot.accept",
        () => {
          const arrival = first ? stamp.value : ingress.shardClient.stamp(env.wall());
          first = false;
          return { stamp: arrival, lot: job, cause: accepted.value.cause };
        },
        Constants.jobPatienceMs,
        2000,
        Constants.openPatienceMs,
      );
      if (!done.ok) {
        const lost = done.fault.tag !== "busy" && done.fault.tag !== "unknown";
        return Http.problem(
          incoming,
          lost
            ? {
                tag: "busy",
                step: "accept lot",
                member: done.fault.member,
                detail: done.fault.detail,
                retryAfterMs: 2 * Constants.retryAfterMs,
              }
            : done.fault,
          undefined,
          { lot: id },
        );
      }
      if (done.value.tag === "exists" && done.value.state === "trimmed")
        return Http.problem(incoming, {
          tag: "gone",
          step: "accept lot",
          member: ingress.id,
          detail: "the lot was done, and its results trimmed by retention",
        });
      if (done.value.tag === "exists" && !done.value.same)
        return Http.problem(
          incoming,
          { tag: "conflict", step: "accept lot", member: ingress.id, detail: "the lot id was used with other items" },
          422,
        );
      Http.json(incoming, done.value.tag === "exists" ? 200 : 202, { id, items: bodies.length });
    };
    const askJob = function* <Method extends "lot.status" | "lot.end">(
      verb: Method,
      id: string,
      body: () => Omit<RequestOf<Method>, "shard" | "id">,
    ): Task<Result<ResponseOf<Method>>> {
      const done = yield* ingress.shardClient.callLeader(
        ingress.shardClient.shardOf(id),
        verb,
        () => ({ id, ...body() }) as RequestOf<Method>,
        5000,
      );
      if (
        done.ok ||
        done.fault.tag === "notFound" ||
        done.fault.tag === "gone" ||
        done.fault.tag === "busy" ||
        done.fault.tag === "unknown"
      )
        return done;
      return Fault.busy(done.fault.step, done.fault.member, done.fault.detail, Constants.retryAfterMs);
    };
    const number = (incoming: HttpExchange, name: string, otherwise: number, most: number): number | undefined => {
      const given = incoming.query.get(name);
      if (given === null) return otherwise;
      if (!/^\d{1,9}$/.test(given)) {
        Http.problem(incoming, {
          tag: "invalid",
          step: `read ${name}`,
          member: "caller",
          detail: `${name} must be a whole number`,
        });
        return undefined;
      }
      return Math.min(+given, most);
    };
    return [
      { method: "POST", path: /^\/v1\/requests\/([^/]+)$/, run: request },
      { method: "GET", path: /^\/v1\/streams\/([^/]+)$/, run: resume },
      { method: "POST", path: /^\/v1\/lots$/, run: acceptJob },
      {
        method: "GET",
        path: /^\/v1\/lots\/([^/]+)$/,
        *run(incoming, [id]) {
          const status = yield* askJob("lot.status", id, () => ({}));
          if (!status.ok) return Http.problem(incoming, status.fault);
          Http.json(incoming, 200, status.value);
        },
      },
      {
        method: "GET",
        path: /^\/v1\/lots\/([^/]+)\/results$/,
        *run(incoming, [id]) {
          const after = number(incoming, "after", 0, 1e9);
          const limit = number(incoming, "limit", 500, 2000);
          const waitMs = number(incoming, "waitMs", 0, Constants.readWaitMs);
          if (after === undefined || limit === undefined || waitMs === undefined) return;
          const read = yield* ingress.jobResults(id, after, Math.max(1, limit), waitMs);
          if (!read.ok) return Http.problem(incoming, read.fault);
          Http.json(incoming, 200, { id, ...read.value, next: after + read.value.results.length });
        },
      },
      {
        method: "GET",
        path: /^\/v1\/lots\/([^/]+)\/items\/([^/]+)$/,
        *run(incoming, [id, item]) {
          const found = yield* BatchSubmission.itemBody(ingress, id, item);
          if (!found.ok) return Http.problem(incoming, found.fault);
          incoming.send(200, { "content-type": "application/octet-stream" }, Buffer.from(found.value.body, "base64"));
        },
      },
      {
        method: "POST",
        path: /^\/v1\/lots\/([^/]+)\/end$/,
        *run(incoming, [id]) {
          const by = incoming.headers["x-caller"] || "caller";
          const ended = yield* askJob("lot.end", id, () => ({ stamp: ingress.shardClient.stamp(env.wall()), by }));
          if (!ended.ok) return Http.problem(incoming, ended.fault);
          Http.json(incoming, 200, { id, ended: true });
        },
      },
    ];
  },
};
