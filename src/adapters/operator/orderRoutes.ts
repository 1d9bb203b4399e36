import { Constants } from "../../common/constants";
import { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";
import { parseRecovery } from "../schemas/recoverySchemas";
import { ChangePreconditions } from "./changePreconditions";
import type { OperatorContext } from "./operatorContext";
import { submitOrder } from "./operatorChanges";
import { CONTROL_READ_TIMEOUT_MS, readRoute } from "./readRoute";

const drainPath = /^\/v1\/districts\/([^/]{1,80})\/drain$/;
const retirementPath = /^\/v1\/stores\/([^/]{1,120})\/retirement$/;

function* orderDrain(node: NodeContext, exchange: HttpExchange, tag: "drain" | "undrain", zone: string): Task<void> {
  yield* submitOrder(node, exchange, (base) => ({
    op: "change",
    command: { tag, ...base, district: zone, at: node.env.wallClockMs() },
  }));
}

/** Forwards an order to recover the control group from one voter to that voter, which carries it out. */
function* recover(node: NodeContext, exchange: HttpExchange): Task<void> {
  const body = yield* Http.readJsonBody(exchange, Constants.bodyLimitBytes);
  if (!body) return;
  const recovery = parseRecovery(body.value);
  if (!recovery.ok) return Http.sendProblem(exchange, recovery.fault);
  const { voter } = recovery.value;
  const { members } = node.snapshot();
  const address = members.find((member) => member.id === voter && member.program === "control")?.address;
  if (!address) {
    const detail = `no living control member ${voter}`;
    return Http.sendProblem(exchange, { tag: "notFound", step: "recover", member: node.id, detail });
  }
  const order = { ...recovery.value, by: ChangePreconditions.operatorOf(exchange) };
  const recovered = yield* node.rpc.call<unknown>(address, "control.recover", order, Constants.changeRetryWindowMs);
  if (!recovered.ok) return Http.sendProblem(exchange, recovered.fault);
  Http.sendJson(exchange, 200, recovered.value);
}

/**
 * Routes for orders without a version: drains of zones, retirements of storage nodes, and recovery of the control group.
 *
 * @example
 * const routes = orderRoutes(context);
 */
export const orderRoutes = ({ node }: OperatorContext): HttpRoute[] => [
  { method: "POST", path: drainPath, run: (exchange, [zone]) => orderDrain(node, exchange, "drain", zone) },
  { method: "DELETE", path: drainPath, run: (exchange, [zone]) => orderDrain(node, exchange, "undrain", zone) },
  {
    method: "POST",
    path: retirementPath,
    run: (exchange, [store]) => submitOrder(node, exchange, (base) => ({ op: "retire", ...base, store })),
  },
  readRoute(node.id, retirementPath, (_exchange, [id]) =>
    node.control.request({ op: "read", what: "retirement", id }, CONTROL_READ_TIMEOUT_MS),
  ),
  { method: "POST", path: /^\/v1\/control\/recover$/, run: (exchange) => recover(node, exchange) },
];
