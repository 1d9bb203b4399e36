import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, HttpResponse, RequestCorrelation } from "../runtime/env";
import { EndpointBody } from "./endpointBody";
import { EndpointStream } from "./endpointStream";
import { impliesNotExecuted } from "./notExecutedStatus";

/** A JSON request as it is sent to one endpoint. */
export interface ForwardedRequest {
  path: string;
  id: string;
  /** The number of this attempt, from 1. */
  attempt: number;
  /** JSON text. */
  body: string;
  /** Chunks of the stream that earlier attempts have received; the endpoint continues after them. */
  receivedChunks: string[];
  /** The time limit of the request, in ms. */
  deadlineMs: number;
  /** A request that is not idempotent gets a new connection, so that it is known whether the request was sent. */
  idempotent: boolean;
}

/** The response of a single request. */
export interface SingleResponse {
  status: number;
  /** JSON text. */
  body: string;
}

const REQUEST_ID_HEADER = "x-request-id";

const headersOf = (request: ForwardedRequest): Record<string, string> => ({
  [REQUEST_ID_HEADER]: request.id,
  "x-round": String(request.attempt),
  "x-deadline-ms": String(Math.max(1, Math.round(request.deadlineMs))),
});

const correlationOf = ({ id }: ForwardedRequest): RequestCorrelation => ({
  id,
  header: REQUEST_ID_HEADER,
  isHeaderOptional: true,
});

function bodyOf(request: ForwardedRequest): string {
  if (request.receivedChunks.length === 0) return request.body;
  const body = JSON.parse(request.body) as object;
  return JSON.stringify({ ...body, continueFrom: request.receivedChunks });
}

/** Whether the endpoint states that it did not accept the request; after any other error status it may have run. */
const isRefusal = ({ status, headers }: HttpResponse): boolean =>
  (status === 429 || status === 503) && headers["x-accepted"] === "no";

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

/**
 * Sends JSON requests to endpoints. The response is a stream of JSON lines, or one JSON body. A fault "refused" means that
 * the request provably did not run.
 */
export const EndpointHttp = {
  /** Opens a stream; returns a fault with the step "deliver" if the endpoint does not respond with status 200. */
  *stream(env: Environment, endpoint: Endpoint, request: ForwardedRequest): Task<Result<EndpointStream>> {
    const response = yield* env.httpRequest(endpoint.address, {
      method: "POST",
      path: request.path,
      headers: { ...headersOf(request), accept: "application/x-ndjson" },
      body: bodyOf(request),
      timeoutMs: Math.min(request.deadlineMs, Constants.firstChunkTimeoutMs),
      newConnection: !request.idempotent,
      correlation: correlationOf(request),
    });
    if (!response.ok) return response;
    const { status } = response.value;
    if (status === 200) return Fault.ok(new EndpointStream(env, endpoint, response.value));
    response.value.abort();
    const tag = isRefusal(response.value) ? "refused" : "broken";
    return Fault.fail(tag, "deliver", endpoint.id, `replica replied ${status}`);
  },

  /** Sends a request and reads the response body; statuses from 500, and those of impliesNotExecuted, become faults. */
  *single(env: Environment, endpoint: Endpoint, request: ForwardedRequest): Task<Result<SingleResponse>> {
    const sent = yield* env.httpRequest(endpoint.address, {
      method: "POST",
      path: request.path,
      headers: headersOf(request),
      body: request.body,
      timeoutMs: request.deadlineMs,
      newConnection: !request.idempotent,
      correlation: correlationOf(request),
    });
    if (!sent.ok) return sent;
    const response = sent.value;
    if (isRefusal(response)) {
      response.abort();
      return Fault.fail("refused", "deliver", endpoint.id, "not accepted");
    }
    const read = yield* new EndpointBody(env, endpoint.id, response, "read replica").readAll(request.deadlineMs);
    if (!read.ok) return Fault.fail("broken", "read replica", endpoint.id, "reply broken, too long or too slow");
    const body = read.value.toString("utf8");
    const { status } = response;
    if (status >= 500 || impliesNotExecuted(status))
      return Fault.fail("broken", "deliver", endpoint.id, `replica replied ${status}`);
    if (!isJson(body)) return Fault.fail("invalid", "read replica", endpoint.id, "reply is not JSON");
    return Fault.ok({ status, body });
  },
};
