import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { HttpExchange } from "../runtime/env";

/** The status of a response to each kind of fault, where a route gives no other. */
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
const serviceUnavailable = 503;
const payloadTooLarge = 413;
const methodNotAllowed = 405;
const problemType = "application/problem+json";

/** A method and a path, and what handles them; `parts` are the path's captured groups, decoded. */
export interface HttpRoute {
  method: string;
  path: RegExp;
  run: (exchange: HttpExchange, parts: string[]) => Task<void>;
}

/** A body that was parsed as JSON, with its text. */
export interface JsonBody {
  value: unknown;
  text: string;
}

/** The seconds after which a rejected caller should retry, rounded up, at least one. */
function retryAfterHeader(fault: Fault, status: number): Record<string, string> {
  if (fault.tag === "busy") return { "retry-after": String(Math.max(1, Math.ceil(fault.retryAfterMs / 1000))) };
  return status === serviceUnavailable ? { "retry-after": "1" } : {};
}

/** The path's captured groups, decoded; undefined if they are malformed. */
function decodeParts(match: RegExpExecArray): string[] | undefined {
  try {
    return match.slice(1).map(decodeURIComponent);
  } catch {
    return undefined;
  }
}

function rejectMethod(exchange: HttpExchange, allowed: HttpRoute[]): void {
  const problem = {
    title: "method",
    status: methodNotAllowed,
    code: "method",
    detail: `${exchange.method} is not for ${exchange.path}`,
    step: "find path",
    member: "caller",
  };
  const allow = allowed.map(({ method }) => method).join(", ");
  exchange.send(methodNotAllowed, { allow, "content-type": problemType }, JSON.stringify(problem));
}

/**
 * What all HTTP surfaces share: JSON responses, problem objects (RFC 9457), routes.
 *
 * @example
 * Http.json(exchange, 200, { version: 3 });
 * Http.problem(exchange, fault);
 */
export const Http = {
  /** Responds with JSON. */
  sendJson(exchange: HttpExchange, status: number, body: unknown, headers: Record<string, string> = {}): void {
    exchange.send(status, { "content-type": "application/json", ...headers }, JSON.stringify(body));
  },

  /** Responds with a problem object. @example Http.problem(exchange, fault, 422) */
  sendProblem(
    exchange: HttpExchange,
    fault: Fault,
    status = statuses[fault.tag],
    extra: Record<string, unknown> = {},
  ): void {
    const code = status === serviceUnavailable ? "busy" : fault.tag;
    const headers = { "content-type": problemType, ...retryAfterHeader(fault, status) };
    exchange.send(status, headers, JSON.stringify(Http.problemOf(fault, status, code, extra)));
  },

  /** The problem object of a fault: its code, where it happened, and the fields of `extra`. */
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

  /**
   * Reads a body of at most limitBytes as JSON; undefined on failure, and then the response has been sent.
   * @example
   * const body = yield* Http.body(exchange, 1000);
   * if (!body) return;
   */
  *readJsonBody(exchange: HttpExchange, limitBytes: number): Task<JsonBody | undefined> {
    const read: Result<Buffer> = yield* exchange.body(limitBytes);
    if (!read.ok) {
      Http.sendProblem(exchange, read.fault, read.fault.tag === "invalid" ? payloadTooLarge : 400);
      return undefined;
    }
    const text = read.value.toString("utf8");
    try {
      return { value: JSON.parse(text), text };
    } catch {
      Http.sendProblem(exchange, { tag: "invalid", step: "read body", member: "caller", detail: "body is not JSON" });
      return undefined;
    }
  },

  /** Runs the first route that matches: 404 for an unknown path, 405 for a known path with another method. */
  *dispatch(routes: HttpRoute[], exchange: HttpExchange): Task<void> {
    const matching = routes
      .map((route) => ({ route, match: route.path.exec(exchange.path) }))
      .flatMap(({ route, match }) => (match ? [{ route, match }] : []));
    const chosen = matching.find(({ route }) => route.method === exchange.method);
    if (chosen) {
      const parts = decodeParts(chosen.match);
      if (parts) return yield* chosen.route.run(exchange, parts);
      const detail = "path is not well encoded";
      return Http.sendProblem(exchange, { tag: "invalid", step: "read path", member: "caller", detail });
    }
    if (matching.length > 0)
      return rejectMethod(
        exchange,
        matching.map(({ route }) => route),
      );
    const detail = `no ${exchange.path}`;
    Http.sendProblem(exchange, { tag: "notFound", step: "find path", member: "caller", detail });
  },

  /** Metrics as lines of text. @example Http.metricLines({ puts: 3 }) // "petrelbeam_puts 3\n" */
  metricLines: (metrics: Record<string, number>): string =>
    Object.entries(metrics)
      .map(([name, value]) => `petrelbeam_${name} ${value}\n`)
      .join(""),
};
