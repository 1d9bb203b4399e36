import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpRequest, HttpResponse } from "../runtime/env";
import { HeaderNames } from "./headerNames";

/** A request that is forwarded unchanged. */
export interface DirectRequest {
  method: string;
  /** Path and query. */
  target: string;
  /** The end-to-end headers. */
  headers: Record<string, string>;
  body: Buffer;
  id: string;
  /** How long the caller waits, in ms. */
  remainingMs: number;
  /** A stream goes on after this event; 0 for its beginning. */
  lastEventId: number;
  /** 0 is served first. */
  priority: number;
}

/** The head of an endpoint's response, with its end-to-end headers. */
export interface DirectResponse {
  status: number;
  headers: Record<string, string>;
  /** For the body. */
  response: HttpResponse;
}

/** Headers of one connection, which a proxy does not forward (RFC 9110, section 7.6.1), and those of its framing. */
const connectionHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
]);
const misdirectedRequest = 421;
const notModified = 304;

/** What the endpoint gets: the caller's headers, and those that name the request, its target and its limits. */
function requestHeaders(names: HeaderNames, endpoint: Endpoint, request: DirectRequest): Record<string, string> {
  const headers: Record<string, string> = { ...request.headers };
  headers[names.requestId] = request.id;
  headers[names.remainingMs] = String(Math.max(1, Math.floor(request.remainingMs)));
  headers[names.targetInstance] = endpoint.instance;
  headers[names.priority] = String(request.priority);
  if (request.lastEventId > 0) headers[names.lastEventId] = String(request.lastEventId);
  return headers;
}

/** What the caller gets. */
function responseHeaders(request: DirectRequest, response: HttpResponse): Record<string, string> {
  const headers = DirectHttp.endToEnd(response.headers);
  const length = response.headers["content-length"];
  // here the length is that of a body that does not follow, so it belongs to the response and not to its framing
  const hasNoBody = request.method === "HEAD" || response.status === notModified;
  if (length !== undefined && hasNoBody) headers["content-length"] = length;
  return headers;
}

/**
 * Forwards requests to endpoints without a change of method, path and body. A fault "refused" means that the request
 * provably did not run; after any other fault it may have run.
 *
 * @example
 * const opened = yield* DirectHttp.open(env, headerNames, endpoint, request, 2000);
 */
export const DirectHttp = {
  /** The headers without those of one connection. */
  endToEnd(headers: Record<string, string>): Record<string, string> {
    const namedByConnection = (headers.connection ?? "")
      .toLowerCase()
      .split(",")
      .map((name) => name.trim());
    const isEndToEnd = (name: string): boolean => !connectionHeaders.has(name) && !namedByConnection.includes(name);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) if (isEndToEnd(name.toLowerCase())) forwarded[name] = value;
    return forwarded;
  },

  /** Sends the request and waits up to headTimeoutMs for the head of the response; checks that it is this request's. */
  *open(
    env: Environment,
    names: HeaderNames,
    endpoint: Endpoint,
    request: DirectRequest,
    headTimeoutMs: number,
    cancellation?: HttpRequest["cancellation"],
  ): Task<Result<DirectResponse>> {
    const sent = yield* env.http(endpoint.address, {
      method: request.method,
      path: request.target,
      headers: requestHeaders(names, endpoint, request),
      body: request.body,
      timeoutMs: Math.max(1, headTimeoutMs),
      connectMs: Constants.connectMs,
      cancellation,
    });
    if (!sent.ok) return sent;
    const response = sent.value;
    // checked first: a late refusal of another request says nothing about this one, which may be running
    if (response.headers[names.requestId] !== request.id) {
      response.abort();
      return Fault.fail("broken", "check reply", endpoint.id, "the reply is another request's");
    }
    if (response.headers[names.notExecuted] !== undefined || response.status === misdirectedRequest) {
      response.finish();
      return Fault.fail("refused", "deliver", endpoint.id, `replica replied ${response.status}: not run`);
    }
    return Fault.ok({ status: response.status, headers: responseHeaders(request, response), response });
  },

  /** Reads the entire body; undefined if it was cut off, too long or too slow. */
  readBody: (env: Environment, opened: DirectResponse, withinMs: number): Task<Buffer | undefined> =>
    EnvironmentTools.bytesOf(env, opened.response, Constants.responseLimitBytes, withinMs),
};
