import type { HttpExchange } from "./http";

/** What a process does with HTTP requests. The phases follow each other in this order, and each lasts until the next. */
export type ServingPhase =
  /** Requests are handled. */
  | "serving"
  /** Requests are handled, and each response ends its connection. */
  | "leaving"
  /** No connections are accepted. Requests read before are finished; one that is read now is rejected. */
  | "draining"
  /** No request is read. Requests without a response have received their last one. */
  | "closed";

const SERVICE_UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
/** Value of the Retry-After header of a rejection, in seconds; another process can take the request at once. */
const RETRY_AFTER_SECONDS = "1";

export const STOPPING_DETAIL = "the process is stopping";

/** Whether a request that its handler has said nothing about may have had an effect (RFC 9110, section 9.2.1). */
const mayHaveEffect = (method: string): boolean => method !== "GET" && method !== "HEAD";

/** Rejects a request that has not run and will not. */
export function rejectStopping(exchange: Pick<HttpExchange, "send">): void {
  sendProblem(exchange, SERVICE_UNAVAILABLE, "busy", STOPPING_DETAIL, { "retry-after": RETRY_AFTER_SECONDS });
}

/** Sends the last response to a request that can't be finished; its status tells whether the request may have run. */
export function sendLastResponse(exchange: Pick<HttpExchange, "send" | "method" | "mayHaveRun">): void {
  if (!(exchange.mayHaveRun ?? mayHaveEffect(exchange.method))) return rejectStopping(exchange);
  sendProblem(exchange, GATEWAY_TIMEOUT, "unknown", `${STOPPING_DETAIL}; the request may have run`, {});
}

function sendProblem(
  exchange: Pick<HttpExchange, "send">,
  status: number,
  code: string,
  detail: string,
  headers: Record<string, string>,
): void {
  const body = JSON.stringify({ title: code, status, code, detail });
  exchange.send(status, { "content-type": "application/problem+json", connection: "close", ...headers }, body);
}
