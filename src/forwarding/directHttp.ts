import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools, HttpRequest, HttpResponse } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Endpoint } from "../node/clusterSnapshot";
import { HeaderNames } from "./headerNames";

/** A request that is passed on as it is: target is path and query, headers are the end-to-end ones. */
export type DirectRequest = {
  method: string;
  target: string;
  headers: Record<string, string>;
  body: Buffer;
  id: string;
  remainingMs: number;
  lastEventId: number;
  priority: number;
};
export type DirectResponse = { status: number; headers: Record<string, string>; response: HttpResponse };

const perConnection = new Set([
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

/**
 * Requests passed to a replica without a change of method, path and body. The fault tells whether it may have run:
 * "refused" means that it provably has not.
 *
 * @example
 * const opened = yield* DirectHttp.open(env, names, replica, direct, 2000);
 */
export const DirectHttp = {
  /** Headers without those of one connection. @example DirectHttp.endToEnd(incoming.headers) */
  endToEnd(headers: Record<string, string>): Record<string, string> {
    const named = (headers.connection ?? "")
      .toLowerCase()
      .split(",")
      .map((name) => name.trim());
    const kept: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers))
      if (!perConnection.has(name.toLowerCase()) && !named.includes(name.toLowerCase())) kept[name] = value;
    return kept;
  },
  /** The head of the reply, its id checked. @example yield* DirectHttp.open(env, names, replica, direct, 2000) */
  *open(
    env: Env,
    names: HeaderNames,
    endpoint: Endpoint,
    direct: DirectRequest,
    headWithinMs: number,
    cancellation?: HttpRequest["cancellation"],
  ): Task<Result<DirectResponse>> {
    const headers: Record<string, string> = { ...direct.headers };
    headers[names.requestId] = direct.id;
    headers[names.remainingMs] = String(Math.max(1, Math.floor(direct.remainingMs)));
    headers[names.targetInstance] = endpoint.instance;
    headers[names.priority] = String(direct.priority);
    if (direct.lastEventId > 0) headers[names.lastEventId] = String(direct.lastEventId);
    const response = yield* env.http(endpoint.address, {
      method: direct.method,
      path: direct.target,
      headers,
      body: direct.body,
      timeoutMs: Math.max(1, headWithinMs),
      connectMs: Constants.connectMs,
      cancellation,
    });
    if (!response.ok) return response;
    const reply = response.value;
    // first of all: a late refusal of another request says nothing about this one, which may be running
    if (reply.headers[names.requestId] !== direct.id) {
      reply.abort();
      return Fault.fail("broken", "check reply", endpoint.id, "the reply is another request's");
    }
    if (reply.headers[names.notExecuted] !== undefined || reply.status === 421) {
      reply.finish();
      return Fault.fail("refused", "deliver", endpoint.id, `replica replied ${reply.status}: not run`);
    }
    const kept = DirectHttp.endToEnd(reply.headers);
    const length = reply.headers["content-length"];
    // here the length tells of a body that does not come: it is part of the response and not of its framing
    if (length !== undefined && (direct.method === "HEAD" || reply.status === 304)) kept["content-length"] = length;
    return Fault.ok({ status: reply.status, headers: kept, response: reply });
  },
  /** The whole body, or undefined if it was cut, too long or too slow. @example yield* DirectHttp.whole(env, opened, 500) */
  readBody: (env: Env, opened: DirectResponse, withinMs: number): Task<Buffer | undefined> =>
    EnvTools.bytesOf(env, opened.response, Constants.responseLimitBytes, withinMs),
};
