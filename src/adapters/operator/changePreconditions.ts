import { Constants } from "../../common/constants";
import { Hash } from "../../common/hash";
import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../../runtime/env";
import { Http } from "../http";

const preconditionRequired = 428;

/**
 * What is common to requests that change the control state.
 *
 * @example
 * const ifVersion = ChangePreconditions.ifMatchVersion(exchange);
 * if (ifVersion === undefined) return;
 */
export const ChangePreconditions = {
  /** Who asks for the change, for the ledger. */
  operatorOf: (exchange: HttpExchange): string => exchange.headers["x-operator"] || "operator",

  /** The version in If-Match that the change was made against; undefined without one, and then the response has been sent. */
  ifMatchVersion(exchange: HttpExchange): number | undefined {
    const version = (exchange.headers["if-match"] ?? "").replace(/^W\//, "").replace(/"/g, "");
    if (/^\d+$/.test(version)) return +version;
    const detail = "name the version the change was made against in If-Match";
    Http.sendProblem(
      exchange,
      { tag: "invalid", step: "read If-Match", member: "operator", detail },
      preconditionRequired,
    );
    return undefined;
  },

  /** The id of a change that came without one; a retry of the same change has the same id, and is applied once. */
  derivedChangeId: (exchange: HttpExchange, ifVersion: number, body: string): string =>
    `change-${Hash.text(`${exchange.method} ${exchange.path} ${ifVersion} ${body}`)}`,

  /**
   * Whether the caller is still connected. A process that was frozen reads a request and the end of its connection at
   * once: a change that names no version must not be carried out for a caller that left before.
   */
  *isCallerConnected(env: Environment, exchange: HttpExchange): Task<boolean> {
    const disconnected = yield* EnvironmentTools.takeWithin(env, exchange.disconnected, Constants.callerGoneLookMs);
    return disconnected === undefined;
  },
};
