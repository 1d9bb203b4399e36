import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, HttpRequest, HttpResponse } from "../runtime/env";
import { EndpointBody } from "./endpointBody";
import { HeaderNames } from "./headerNames";

/** A request that is forwarded unchanged. */
export interface DirectRequest {
  method: string;
  /** The path and the query. */
  target: string;
  /** The end-to-end headers. */
  headers: Record<string, string>;
  body: Buffer;
  id: string;
  /** The caller's remaining time limit, in ms. */
  remainingMs: number;
  /** The id of the event after which a stream continues; 0 to start at its beginning. */
  lastEventId: number;
  /** The priority; 0 is served first. */
  priority: number;
}

/** The status and the end-to-end headers of an endpoint's response. */
export interface DirectResponse {
  status: number;
  headers: Record<string, string>;
  /** The response from which the body is read. */
  response: HttpResponse;
}

/** Hop-by-hop headers, which a proxy does not forward (RFC 9110, section 7.6.1), and headers of message framing. */
const hopByHopHeaders = new Set([
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
const MISDIRECTED_REQUEST = 421;
const NOT_MODIFIED = 304;

/** Returns the caller's headers and those that identify the request, its target and its limits. */
function requestHeaders(names: HeaderNames, endpoint: Endpoint, request: DirectRequest): Record<string, string> {
  const headers: Record<string, string> = { ...request.headers };
  headers[names.requestId] = request.id;
  headers[names.remainingMs] = String(Math.max(1, Math.floor(request.remainingMs)));
  headers[names.targetInstance] = endpoint.instance;
  headers[names.priority] = String(request.priority);
  if (request.lastEventId > 0) headers[names.lastEventId] = String(request.lastEventId);
  return headers;
}

/** Returns the headers that are relayed to the caller. */
function responseHeaders(request: DirectRequest, response: HttpResponse): Record<string, string> {
  const headers = DirectHttp.endToEnd(response.headers);
  const contentLength = response.headers["content-length"];
  // No body follows here, so the length is a property of the response and not part of its framing.
  const hasNoBody = request.method === "HEAD" || response.status === NOT_MODIFIED;
  if (contentLength !== undefined && hasNoBody) headers["content-length"] = contentLength;
  return headers;
}

/**
 * Forwards requests to endpoints with unchanged method, path and body. A fault "refused" means that the request provably
 * did not run; after any other fault it may have run.
 */
export const DirectHttp = {
  /** Returns the headers without the hop-by-hop and framing headers. */
  endToEnd(headers: Record<string, string>): Record<string, string> {
    const connectionOptions = (headers.connection ?? "")
      .toLowerCase()
      .split(",")
      .map((name) => name.trim());
    const isEndToEnd = (name: string): boolean => !hopByHopHeaders.has(name) && !connectionOptions.includes(name);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) if (isEndToEnd(name.toLowerCase())) forwarded[name] = value;
    return forwarded;
  },

  /**
   * Sends the request and waits up to headTimeoutMs for the response headers. The client has checked that they belong to this
   * sending of the request: a refusal of another request, or of an earlier attempt, says nothing about one that may be running.
   */
  *open(
    env: Environment,
    names: HeaderNames,
    endpoint: Endpoint,
    request: DirectRequest,
    headTimeoutMs: number,
    cancellation?: HttpRequest["cancellation"],
  ): Task<Result<DirectResponse>> {
    const sent = yield* env.httpRequest(endpoint.address, {
      method: request.method,
      path: request.target,
      headers: requestHeaders(names, endpoint, request),
      body: request.body,
      timeoutMs: Math.max(1, headTimeoutMs),
      connectTimeoutMs: Constants.endpointConnectTimeoutMs,
      cancellation,
      correlation: { id: request.id, header: names.requestId },
    });
    if (!sent.ok) return sent;
    const response = sent.value;
    if (response.headers[names.notExecuted] !== undefined || response.status === MISDIRECTED_REQUEST) {
      response.discardBody();
      return Fault.fail("refused", "deliver", endpoint.id, `replica replied ${response.status}: not run`);
    }
    return Fault.ok({ status: response.status, headers: responseHeaders(request, response), response });
  },

  /** Reads the entire body. Faults: "broken" if it was cut off, "invalid" if it is too long, "timeout" if it is too slow. */
  readBody: (env: Environment, endpoint: Endpoint, opened: DirectResponse, withinMs: number): Task<Result<Buffer>> =>
    new EndpointBody(env, endpoint.id, opened.response, "read reply").readAll(withinMs),
};
