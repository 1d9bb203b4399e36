import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { HttpExchange } from "../runtime/env";

/** The default status of a response to a fault, by the fault's tag. */
const STATUS_BY_TAG: Record<Fault["tag"], number> = {
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
const SERVICE_UNAVAILABLE = 503;
const BAD_REQUEST = 400;
const PAYLOAD_TOO_LARGE = 413;
const METHOD_NOT_ALLOWED = 405;
const PROBLEM_TYPE = "application/problem+json";

/** A method, a path and their handler; `parts` are the captured groups of the path, decoded. */
export interface HttpRoute {
  method: string;
  path: RegExp;
  run: (exchange: HttpExchange, parts: string[]) => Task<void>;
}

/** A body parsed as JSON, and its text. */
export interface JsonBody {
  value: unknown;
  text: string;
}

/** Returns the Retry-After header of a rejection, in seconds: rounded up, and at least 1. */
function retryAfterHeader(fault: Fault, status: number): Record<string, string> {
  if (fault.tag === "busy") return { "retry-after": String(Math.max(1, Math.ceil(fault.retryAfterMs / 1000))) };
  return status === SERVICE_UNAVAILABLE ? { "retry-after": "1" } : {};
}

function statusOfBodyFault({ tag }: Fault): number {
  if (tag === "invalid") return PAYLOAD_TOO_LARGE;
  return tag === "busy" ? SERVICE_UNAVAILABLE : BAD_REQUEST;
}

/** Returns the captured groups of a path, decoded; undefined if their encoding is malformed. */
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
    status: METHOD_NOT_ALLOWED,
    code: "method",
    detail: `${exchange.method} is not for ${exchange.path}`,
    step: "find path",
    member: "caller",
  };
  const allow = allowed.map(({ method }) => method).join(", ");
  exchange.send(METHOD_NOT_ALLOWED, { allow, "content-type": PROBLEM_TYPE }, JSON.stringify(problem));
}

/**
 * Responses and routing for all HTTP APIs. Errors are sent as problem objects (RFC 9457).
 *
 * @example
 * Http.sendJson(exchange, 200, { version: 3 });
 * Http.sendProblem(exchange, fault);
 */
export const Http = {
  sendJson(exchange: HttpExchange, status: number, body: unknown, headers: Record<string, string> = {}): void {
    exchange.send(status, { "content-type": "application/json", ...headers }, JSON.stringify(body));
  },

  /** Responds with the problem object of a fault, extended by the fields of `extra`. */
  sendProblem(
    exchange: HttpExchange,
    fault: Fault,
    status = STATUS_BY_TAG[fault.tag],
    extra: Record<string, unknown> = {},
  ): void {
    const code = status === SERVICE_UNAVAILABLE ? "busy" : fault.tag;
    const headers = { "content-type": PROBLEM_TYPE, ...retryAfterHeader(fault, status) };
    exchange.send(status, headers, JSON.stringify(Http.problemOf(fault, status, code, extra)));
  },

  /** Returns the problem object of a fault, extended by the fields of `extra`. */
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
   * Reads a body of at most `limitBytes` as JSON. On failure it sends a problem as the response and returns undefined.
   * @example
   * const body = yield* Http.readJsonBody(exchange, 1000);
   * if (!body) return;
   */
  *readJsonBody(exchange: HttpExchange, limitBytes: number): Task<JsonBody | undefined> {
    const read: Result<Buffer> = yield* exchange.body(limitBytes);
    if (!read.ok) {
      Http.sendProblem(exchange, read.fault, statusOfBodyFault(read.fault));
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

  /** Runs the first matching route. Responds 404 to an unknown path, and 405 to a known path with another method. */
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

  /** Formats metrics as lines of text. @example Http.metricLines({ puts: 3 }) // "petrelbeam_puts 3\n" */
  metricLines: (metrics: Record<string, number>): string =>
    Object.entries(metrics)
      .map(([name, value]) => `petrelbeam_${name} ${value}\n`)
      .join(""),
};
