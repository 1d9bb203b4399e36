import { Constants } from "../../common/constants";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";
import type { OperatorContext } from "./operatorContext";

function* sendReadiness({ node, hooks }: OperatorContext, exchange: HttpExchange): Task<void> {
  const unreadyReason = hooks.unreadyReason();
  if (!unreadyReason) return Http.sendJson(exchange, 200, { ready: true });
  const { retryAfterMs } = Constants;
  Http.sendProblem(exchange, { tag: "busy", step: "ready", member: node.id, detail: unreadyReason, retryAfterMs });
}

/**
 * Routes for the liveness, readiness and metrics of the process.
 *
 * @example
 * const routes = processRoutes(context);
 */
export const processRoutes = (context: OperatorContext): HttpRoute[] => [
  {
    method: "GET",
    path: /^\/livez$/,
    *run(exchange) {
      Http.sendJson(exchange, 200, { live: true });
    },
  },
  { method: "GET", path: /^\/readyz$/, run: (exchange) => sendReadiness(context, exchange) },
  {
    method: "GET",
    path: /^\/metrics$/,
    *run(exchange) {
      exchange.send(200, { "content-type": "text/plain" }, Http.metricLines(context.hooks.metrics()));
    },
  },
];
