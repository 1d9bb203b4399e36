import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpResponse } from "../../runtime/env";
import { CallerClient } from "./callerClient";

/** Time-out of the head of a response, and of all of its body, ms. */
const RESPONSE_TIMEOUT_MS = 10_000;

/** A request that is forwarded by host and path, and the body of a complete response to it. */
export interface DirectCall {
  id: string;
  host: string;
  path: string;
  expectedBody: string;
}

/** Reads a body to its end; returns what arrived, and whether the response looks complete to a caller. */
function* readBody(client: CallerClient, response: HttpResponse): Task<{ text: string; looksComplete: boolean }> {
  const { env } = client;
  const deadline = env.monotonicMs() + RESPONSE_TIMEOUT_MS;
  let text = "";
  for (;;) {
    const chunk = yield* EnvironmentTools.takeWithin(env, response.chunks, deadline - env.monotonicMs());
    if (chunk === null) return { text, looksComplete: response.bodyEnd() === "complete" };
    if (chunk === undefined) {
      response.abort();
      return { text, looksComplete: false };
    }
    text += chunk.toString("utf8");
  }
}

/**
 * Sends a direct request once and records whether its response looks complete, and whether it is. Returns the status; 0 if there
 * was no response.
 */
export function* callDirect(client: CallerClient, call: DirectCall): Task<number> {
  const { env, history } = client;
  const response = yield* env.httpRequest(client.pickIngress(), {
    method: "POST",
    path: call.path,
    headers: { host: call.host, "x-request-id": call.id },
    body: "q",
    timeoutMs: RESPONSE_TIMEOUT_MS,
  });
  if (!response.ok) return 0;
  const { status } = response.value;
  if (status !== 200) return status;
  const { text, looksComplete } = yield* readBody(client, response.value);
  const isWhole = text === call.expectedBody;
  history.add({ tag: "directResponse", at: env.wallClockMs(), requestId: call.id, looksComplete, isWhole });
  return status;
}
