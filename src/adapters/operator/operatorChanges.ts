import { Constants } from "../../common/constants";
import { Command } from "../../controlState/command";
import { ControlRequest } from "../../node/controlRequest";
import { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpExchange } from "../../runtime/env";
import { Http } from "../http";
import { ChangePreconditions } from "./changePreconditions";

/** The common fields of all changes that are based on a version. */
export interface VersionedChange {
  changeId: string;
  /** The version that the change is based on. */
  ifVersion: number;
  by: string;
}

/** The common fields of all orders without a version. */
export interface UnversionedOrder {
  changeId: string;
  by: string;
  /** Whether the caller supplied the change id, so that a retry can be recognized. */
  identified: boolean;
}

/** The control group's response to a change. */
interface AppliedChange {
  version: number;
}

/**
 * Submits a change that is based on the version in If-Match, and responds with the new version.
 *
 * @example
 * yield* submitChange(node, exchange, body.text, (base) => ({ tag: "erase", ...base, id }));
 */
export function* submitChange(
  node: NodeContext,
  exchange: HttpExchange,
  body: string,
  makeCommand: (base: VersionedChange) => Command,
): Task<void> {
  const ifVersion = ChangePreconditions.ifMatchVersion(exchange);
  if (ifVersion === undefined) return;
  const changeId = exchange.headers["x-change-id"] || ChangePreconditions.derivedChangeId(exchange, ifVersion, body);
  const command = makeCommand({ changeId, ifVersion, by: ChangePreconditions.operatorOf(exchange) });
  const request: ControlRequest = { op: "change", command };
  const applied = yield* node.control.request<AppliedChange>(request, Constants.changeRetryWindowMs);
  if (!applied.ok) return Http.sendProblem(exchange, applied.fault, undefined, { changeId });
  const { version } = applied.value;
  Http.sendJson(exchange, 200, { version, changeId }, { etag: `"${version}"` });
}

/**
 * Submits an order without a version that may be repeated, such as a drain, if its caller is still connected.
 *
 * @example
 * yield* submitOrder(node, exchange, (base) => ({ op: "retire", ...base, store }));
 */
export function* submitOrder(
  node: NodeContext,
  exchange: HttpExchange,
  makeRequest: (base: UnversionedOrder) => ControlRequest,
): Task<void> {
  const suppliedId = exchange.headers["x-change-id"];
  const changeId = suppliedId || EnvironmentTools.randomId(node.env, "change");
  if (!(yield* ChangePreconditions.isCallerConnected(node.env, exchange))) return;
  const request = makeRequest({
    changeId,
    by: ChangePreconditions.operatorOf(exchange),
    identified: Boolean(suppliedId),
  });
  const applied = yield* node.control.request<AppliedChange>(request, Constants.changeRetryWindowMs);
  if (!applied.ok) {
    const status = applied.fault.tag === "conflict" ? 409 : undefined;
    return Http.sendProblem(exchange, applied.fault, status, { changeId });
  }
  Http.sendJson(exchange, 200, { version: applied.value.version, changeId });
}
