import { Result } from "../../common/fault";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";

/** Time for a read of the control state, in ms. */
export const controlReadTimeoutMs = 4000;

/**
 * A GET route that responds with what is read as JSON; 404 for null and undefined.
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

/** A number of the query, at most `max`; the default where it is missing or malformed. */
export function queryNumberOr(exchange: HttpExchange, name: string, defaultValue: number, max: number): number {
  const value = Number(exchange.query.get(name) ?? defaultValue);
  return Number.isFinite(value) && value >= 0 ? Math.min(value, max) : defaultValue;
}
