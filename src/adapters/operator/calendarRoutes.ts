import { Constants } from "../../common/constants";
import { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";
import { parseCalendarEntry } from "../schemas/calendarSchemas";
import type { OperatorContext } from "./operatorContext";
import { submitChange } from "./operatorChanges";
import { CONTROL_READ_TIMEOUT_MS, readRoute } from "./readRoute";

const changePath = /^\/v1\/calendar\/([A-Za-z0-9._-]{1,80})$/;

function* putEntry(node: NodeContext, exchange: HttpExchange, id: string): Task<void> {
  const body = yield* Http.readJsonBody(exchange, Constants.configurationLimitBytes);
  if (!body) return;
  const entry = parseCalendarEntry(body.value, node.env.wallClockMs());
  if (!entry.ok) return Http.sendProblem(exchange, entry.fault);
  const { due, move } = entry.value;
  yield* submitChange(node, exchange, body.text, (base) => ({ tag: "pencil", ...base, id, due, move }));
}

/**
 * Routes for the calendar of planned operations, and for the outcome of a change.
 *
 * @example
 * const routes = calendarRoutes(context);
 */
export const calendarRoutes = ({ node }: OperatorContext): HttpRoute[] => [
  readRoute(node.id, /^\/v1\/calendar$/, () =>
    node.control.request({ op: "read", what: "calendar" }, CONTROL_READ_TIMEOUT_MS),
  ),
  readRoute(node.id, /^\/v1\/calendar\/([^/]+)$/, (_exchange, [id]) =>
    node.control.request({ op: "read", what: "calendar", id }, CONTROL_READ_TIMEOUT_MS),
  ),
  readRoute(node.id, /^\/v1\/changes\/([^/]+)$/, (_exchange, [id]) =>
    node.control.request({ op: "read", what: "change", id }, CONTROL_READ_TIMEOUT_MS),
  ),
  { method: "PUT", path: changePath, run: (exchange, [id]) => putEntry(node, exchange, id) },
  {
    method: "DELETE",
    path: changePath,
    run: (exchange, [id]) => submitChange(node, exchange, "", (base) => ({ tag: "erase", ...base, id })),
  },
];
