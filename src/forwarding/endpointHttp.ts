import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../runtime/env";
import { EndpointStream } from "./endpointStream";
import { impliesNotExecuted } from "./notExecutedStatus";

/** A JSON request as one endpoint gets it. */
export interface ForwardedRequest {
  path: string;
  id: string;
  /** The number of this attempt, from 1. */
  attempt: number;
  /** JSON text. */
  body: string;
  /** Chunks of a stream that earlier attempts have received; the endpoint continues after them. */
  receivedChunks: string[];
  /** Time for the request, in ms. */
  deadlineMs: number;
  /** A request that is not idempotent gets a connection of its own, so that an unsent one is known to be unsent. */
  idempotent: boolean;
}

/** The response of a single request. */
export interface SingleResponse {
  status: number;
  /** JSON text. */
  body: string;
}

const headersOf = (delivery: ForwardedRequest): Record<string, string> => ({
  "x-request-id": delivery.id,
  "x-round": String(delivery.attempt),
  "x-deadline-ms": String(Math.max(1, Math.round(delivery.deadlineMs))),
});

function bodyOf(delivery: ForwardedRequest): string {
  if (delivery.receivedChunks.length === 0) return delivery.body;
  const body = JSON.parse(delivery.body) as object;
  return JSON.stringify({ ...body, continueFrom: delivery.receivedChunks });
}

/** Whether the endpoint says explicitly that it did not accept the request; after any other refusal it may have run. */
const isNotAccepted = ({ status, headers }: HttpResponse): boolean =>
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
 *
 * @example
 * const opened = yield* EndpointHttp.stream(env, endpoint, request);
 * const response = yield* EndpointHttp.single(env, endpoint, request);
 */
export const EndpointHttp = {
  /** Opens a stream; the fault's step is "deliver" if the endpoint responded with another status. */
  *stream(env: Environment, endpoint: Endpoint, delivery: ForwardedRequest): Task<Result<EndpointStream>> {
    const response = yield* env.http(endpoint.address, {
      method: "POST",
      path: delivery.path,
      headers: { ...headersOf(delivery), accept: "application/x-ndjson" },
      body: bodyOf(delivery),
      timeoutMs: Math.min(delivery.deadlineMs, Constants.firstPieceMs),
      fresh: !delivery.idempotent,
    });
    if (!response.ok) return response;
    const { status } = response.value;
    if (status === 200) return Fault.ok(new EndpointStream(env, endpoint, response.value));
    response.value.abort();
    const tag = isNotAccepted(response.value) ? "refused" : "broken";
    return Fault.fail(tag, "deliver", endpoint.id, `replica replied ${status}`);
  },

  /** Sends a request and reads its body; statuses from 500, and those that promise something, are faults. */
  *single(env: Environment, endpoint: Endpoint, delivery: ForwardedRequest): Task<Result<SingleResponse>> {
    const sent = yield* env.http(endpoint.address, {
      method: "POST",
      path: delivery.path,
      headers: headersOf(delivery),
      body: delivery.body,
      timeoutMs: delivery.deadlineMs,
      fresh: !delivery.idempotent,
    });
    if (!sent.ok) return sent;
    const response = sent.value;
    if (isNotAccepted(response)) {
      response.abort();
      return Fault.fail("refused", "deliver", endpoint.id, "not accepted");
    }
    const body = yield* EnvironmentTools.bodyOf(env, response, Constants.responseLimitBytes, delivery.deadlineMs);
    if (body === undefined)
      return Fault.fail("broken", "read replica", endpoint.id, "reply broken, too long or too slow");
    const { status } = response;
    if (status >= 500 || impliesNotExecuted(status))
      return Fault.fail("broken", "deliver", endpoint.id, `replica replied ${status}`);
    if (!isJson(body)) return Fault.fail("invalid", "read replica", endpoint.id, "reply is not JSON");
    return Fault.ok({ status, body });
  },
};
