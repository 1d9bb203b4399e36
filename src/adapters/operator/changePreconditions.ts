import { Constants } from "../../common/constants";
import { Hash } from "../../common/hash";
import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../../runtime/env";
import { Http } from "../http";

const PRECONDITION_REQUIRED = 428;

/**
 * Helpers for requests that change the control state.
 *
 * @example
 * const ifVersion = ChangePreconditions.ifMatchVersion(exchange);
 * if (ifVersion === undefined) return;
 */
export const ChangePreconditions = {
  /** Returns the name of the operator who requests the change, for the ledger. */
  operatorOf: (exchange: HttpExchange): string => exchange.headers["x-operator"] || "operator",

  /**
   * Returns the version in If-Match that the change is based on. Without a version it sends a problem as the response and
   * returns undefined.
   */
  ifMatchVersion(exchange: HttpExchange): number | undefined {
    const version = (exchange.headers["if-match"] ?? "").replace(/^W\//, "").replace(/"/g, "");
    if (/^\d+$/.test(version)) return +version;
    const detail = "name the version the change was made against in If-Match";
    Http.sendProblem(
      exchange,
      { tag: "invalid", step: "read If-Match", member: "operator", detail },
      PRECONDITION_REQUIRED,
    );
    return undefined;
  },

  /** Returns an id for a change without one. A retry of the same change has the same id, so the change is applied once. */
  derivedChangeId: (exchange: HttpExchange, ifVersion: number, body: string): string =>
    `change-${Hash.text(`${exchange.method} ${exchange.path} ${ifVersion} ${body}`)}`,

  /**
   * Returns whether the caller is still connected. A process that resumes after a pause reads a request and the end of
   * its connection at the same time; a change without a version must not be applied if its caller has disconnected.
   */
  *isCallerConnected(env: Environment, exchange: HttpExchange): Task<boolean> {
    const disconnected = yield* EnvironmentTools.takeWithin(env, exchange.disconnected, Constants.disconnectCheckMs);
    return disconnected === undefined;
  },
};
