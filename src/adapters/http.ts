import { Task } from "../runtime/csp";
import { HttpExchange } from "../runtime/env";
import { Fault, Result } from "../common/fault";

const statuses: Record<Fault["tag"], number> = {
  timeout: 504,
  refused: 503,
  broken: 504,
  busy: 503,
  late: 503,
  notLead: 503,
  invalid: 400,
  conflict: 412,
  notFound: 404,
  unknown: 504,
  gone: 410,
  disk: 500,
  internal: 500,
};
export type HttpRoute = { method: string; path: RegExp; run: (incoming: HttpExchange, parts: string[]) => Task<void> };

/**
 * What every HTTP shape shares: JSON replies, problem objects, routes.
 *
 * @example
 * Http.json(incoming, 200, { version: 3 });
 * Http.problem(incoming, fault);
 */
export const Http = {
  /**
   * Whether a status promises a caller that its request did not run and never will. A replica says that in a header of its
   * own; such a status without it has promised nothing and must not reach a caller.
   * @example Http.promisesNotRun(429) // true
   */
  promisesNotRun: (status: number): boolean => status === 408 || status === 421 || status === 429 || status === 503,
  json(incoming: HttpExchange, status: number, body: unknown, headers: Record<string, string> = {}): void {
    incoming.send(status, { "content-type": "application/json", ...headers }, JSON.stringify(body));
  },
  /** A problem object with a code, the step and the member. @example Http.problem(incoming, fault, 422) */
  problem(
    incoming: HttpExchange,
    fault: Fault,
    status = statuses[fault.tag],
    extra: Record<string, unknown> = {},
  ): void {
    const retry =
      fault.tag === "busy"
        ? { "retry-after": String(Math.max(1, Math.ceil(fault.retryAfterMs / 1000))) }
        : status === 503
          ? { "retry-after": "1" }
          : {};
    const code = status === 503 ? "busy" : fault.tag;
    incoming.send(
      status,
      { "content-type": "application/problem+json", ...(retry as Record<string, string>) },
      JSON.stringify(Http.problemOf(fault, status, code, extra)),
    );
  },
  /** @example Http.problemOf(fault, 503, "busy").code */
  problemOf: (
    fault: Fault,
    status: number,
    code: string = fault.tag,
    extra: Record<string, unknown> = {},
  ): Record<string, unknown> => ({
    title: code,
    status,
    code,
    detail: fault.detail,
    step: fault.step,
    member: fault.member,
    ...(fault.tag === "invalid" && fault.paths ? { paths: fault.paths } : {}),
    ...(fault.tag === "busy" ? { retryAfterMs: fault.retryAfterMs } : {}),
    ...extra,
  }),
  /** Body as JSON; on failure the reply has been sent. @example const body = yield* Http.body(incoming, 1000); if (!body) return; */
  *body(incoming: HttpExchange, limit: number): Task<{ value: unknown; text: string } | undefined> {
    const read: Result<Buffer> = yield* incoming.body(limit);
    if (!read.ok) {
      Http.problem(incoming, read.fault, read.fault.tag === "invalid" ? 413 : 400);
      return undefined;
    }
    const text = read.value.toString("utf8");
    try {
      return { value: JSON.parse(text), text };
    } catch {
      Http.problem(incoming, { tag: "invalid", step: "read body", member: "caller", detail: "body is not JSON" });
      return undefined;
    }
  },
  /** Runs the route that fits: 404 for an unknown path, 405 for a known path with another method. @example yield* Http.dispatch(routes, incoming) */
  *dispatch(routes: HttpRoute[], incoming: HttpExchange): Task<void> {
    const fitting = routes
      .map((route) => ({ route, match: route.path.exec(incoming.path) }))
      .filter(({ match }) => match);
    const chosen = fitting.find(({ route }) => route.method === incoming.method);
    if (chosen) {
      let parts: string[];
      try {
        parts = chosen.match!.slice(1).map(decodeURIComponent);
      } catch {
        return Http.problem(incoming, {
          tag: "invalid",
          step: "read path",
          member: "caller",
          detail: "path is not well encoded",
        });
      }
      return yield* chosen.route.run(incoming, parts);
    }
    if (fitting.length === 0)
      return Http.problem(incoming, {
        tag: "notFound",
        step: "find path",
        member: "caller",
        detail: `no ${incoming.path}`,
      });
    incoming.send(
      405,
      { allow: fitting.map(({ route }) => route.method).join(", "), "content-type": "application/problem+json" },
      JSON.stringify({
        title: "method",
        status: 405,
        code: "method",
        detail: `${incoming.method} is not for ${incoming.path}`,
        step: "find path",
        member: "caller",
      }),
    );
  },
  /** Metrics as plain lines. @example Http.metricLines({ puts: 3 }) // "petrelbeam_puts 3\n" */
  metricLines: (metrics: Record<string, number>): string =>
    Object.entries(metrics)
      .map(([name, value]) => `petrelbeam_${name} ${value}\n`)
      .join(""),
};
