import { Result } from "../common/fault";
import { Node } from "../node/node";
import { NodeContext } from "../node/nodeContext";
import { Task } from "../runtime/csp";
import { Environment } from "../runtime/env";
import { Http, HttpRoute } from "./http";
import { announcementRoutes } from "./operator/announcementRoutes";
import { calendarRoutes } from "./operator/calendarRoutes";
import { clusterRoutes } from "./operator/clusterRoutes";
import { configurationRoutes } from "./operator/configurationRoutes";
import { ledgerRoutes } from "./operator/ledgerRoutes";
import { OperatorHooks } from "./operator/operatorContext";
import { orderRoutes } from "./operator/orderRoutes";
import { processRoutes } from "./operator/processRoutes";

/**
 * The HTTP API for operators and endpoints, which every program serves.
 *
 * @example
 * yield* OperatorHttp.serve(env, "127.0.0.1:8080", node, hooks);
 */
export const OperatorHttp = {
  /** Serves the API at HOST:PORT. */
  *serve(env: Environment, address: string, node: Node, hooks: OperatorHooks): Task<Result<true>> {
    const routes = OperatorHttp.routes(NodeContext.of(node), hooks);
    return yield* env.serveHttp(address, (exchange) => Http.dispatch(routes, exchange));
  },

  /** Returns all routes, for programs that serve them together with routes of their own. */
  routes(node: NodeContext, hooks: OperatorHooks): HttpRoute[] {
    const context = { node, hooks };
    return [
      ...configurationRoutes(context),
      ...orderRoutes(context),
      ...calendarRoutes(context),
      ...ledgerRoutes(context),
      ...clusterRoutes(context),
      ...announcementRoutes(context),
      ...processRoutes(context),
    ];
  },
};
