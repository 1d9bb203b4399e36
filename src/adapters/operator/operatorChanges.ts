import { Constants } from "../../common/constants";
import { Command } from "../../controlState/command";
import { ControlRequest } from "../../node/controlRequest";
import { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpExchange } from "../../runtime/env";
import { Http } from "../http";
import { ChangePreconditions } from "./changePreconditions";

/** What every change that is made against a version carries. */
export interface VersionedChange {
  changeId: string;
  /** The version that the change was made against. */
  ifVersion: number;
  by: string;
}

/** What every order without a version carries. */
export interface UnversionedOrder {
  changeId: string;
  by: string;
  /** Whether the caller gave the change id, so that a retry is known. */
  identified: boolean;
}

/** The control group's answer to a change. */
interface AppliedChange {
  version: number;
}

/**
 * Submits a change that is made against the version in If-Match, and responds with the new version.
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
  const applied = yield* node.control.request<AppliedChange>(request, Constants.changeWaitMs);
  if (!applied.ok) return Http.sendProblem(exchange, applied.fault, undefined, { changeId });
  const { version } = applied.value;
  Http.sendJson(exchange, 200, { version, changeId }, { etag: `"${version}"` });
}

/**
 * Submits an order that names no version and may be repeated, such as a drain, while its caller still waits.
 *
 * @example
 * yield* submitOrder(node, exchange, (base) => ({ op: "retire", ...base, store }));
 */
export function* submitOrder(
  node: NodeContext,
  exchange: HttpExchange,
  makeRequest: (base: UnversionedOrder) => ControlRequest,
): Task<void> {
  const givenId = exchange.headers["x-change-id"];
  const changeId = givenId || EnvironmentTools.randomId(node.env, "change");
  if (!(yield* ChangePreconditions.isCallerConnected(node.env, exchange))) return;
  const request = makeRequest({
    changeId,
    by: ChangePreconditions.operatorOf(exchange),
    identified: Boolean(givenId),
  });
  const applied = yield* node.control.request<AppliedChange>(request, Constants.changeWaitMs);
  if (!applied.ok) {
    const status = applied.fault.tag === "conflict" ? 409 : undefined;
    return Http.sendProblem(exchange, applied.fault, status, { changeId });
  }
  Http.sendJson(exchange, 200, { version: applied.value.version, changeId });
}
