import { Result } from "../../common/fault";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";

/** The time-out of a read of the control state. */
export const CONTROL_READ_TIMEOUT_MS = 4000;

/**
 * Makes a GET route that responds with the result of `read` as JSON, or with 404 if that is null or undefined.
 *
 * @example
 * const route = readRoute("ingress-1", /^\/v1\/calendar$/, () => readCalendar());
 */
export function readRoute(
  selfId: string,
  path: RegExp,
  read: (exchange: HttpExchange, parts: string[]) => Task<Result<unknown>>,
): HttpRoute {
  return {
    method: "GET",
    path,
    *run(exchange, parts) {
      const resource = yield* read(exchange, parts);
      if (!resource.ok) return Http.sendProblem(exchange, resource.fault);
      if (resource.value !== null && resource.value !== undefined) return Http.sendJson(exchange, 200, resource.value);
      const detail = `no ${exchange.path}`;
      Http.sendProblem(exchange, { tag: "notFound", step: "read", member: selfId, detail });
    },
  };
}

/** Returns a number from the query, limited to `max`; the default if it is missing or malformed. */
export function queryNumberOr(exchange: HttpExchange, name: string, defaultValue: number, max: number): number {
  const value = Number(exchange.query.get(name) ?? defaultValue);
  return Number.isFinite(value) && value >= 0 ? Math.min(value, max) : defaultValue;
}
