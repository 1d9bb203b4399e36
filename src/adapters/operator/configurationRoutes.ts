import { Constants } from "../../common/constants";
import { Result } from "../../common/fault";
import { Command } from "../../controlState/command";
import { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";
import { parseConfigurationChange, parseConfigurationPatch } from "../schemas/configurationSchemas";
import { parsePolicies } from "../schemas/policySchemas";
import type { OperatorContext } from "./operatorContext";
import { submitChange, VersionedChange } from "./operatorChanges";
import { CONTROL_READ_TIMEOUT_MS } from "./readRoute";

/** The names of the versioned documents. */
type VersionedDocument = "manifest" | "policies";

function* readDocument(node: NodeContext, exchange: HttpExchange, what: VersionedDocument): Task<void> {
  const document = yield* node.control.request<{ version: number }>({ op: "read", what }, CONTROL_READ_TIMEOUT_MS);
  if (!document.ok) return Http.sendProblem(exchange, document.fault);
  const { version } = document.value;
  Http.sendJson(exchange, 200, document.value, { etag: `"${version}"` });
}

/** Reads and parses a body, and submits the command made from it. */
function* changeDocument<T>(
  node: NodeContext,
  exchange: HttpExchange,
  limitBytes: number,
  parse: (candidate: unknown) => Result<T>,
  makeCommand: (base: VersionedChange, change: T) => Command,
): Task<void> {
  const body = yield* Http.readJsonBody(exchange, limitBytes);
  if (!body) return;
  const change = parse(body.value);
  if (!change.ok) return Http.sendProblem(exchange, change.fault);
  yield* submitChange(node, exchange, body.text, (base) => makeCommand(base, change.value));
}

/**
 * Routes that read and replace the configuration and the policies, and patch the configuration.
 *
 * @example
 * const routes = configurationRoutes(context);
 */
export function configurationRoutes({ node }: OperatorContext): HttpRoute[] {
  const { bodyLimitBytes, configurationLimitBytes } = Constants;
  return [
    { method: "GET", path: /^\/v1\/manifest$/, run: (exchange) => readDocument(node, exchange, "manifest") },
    {
      method: "PUT",
      path: /^\/v1\/manifest$/,
      run: (exchange) =>
        changeDocument(node, exchange, configurationLimitBytes, parseConfigurationChange, (base, change) => ({
          tag: "manifest",
          ...base,
          ...change,
        })),
    },
    { method: "GET", path: /^\/v1\/policies$/, run: (exchange) => readDocument(node, exchange, "policies") },
    {
      method: "PUT",
      path: /^\/v1\/policies$/,
      run: (exchange) =>
        changeDocument(node, exchange, bodyLimitBytes, parsePolicies, (base, doc) => ({
          tag: "policies",
          ...base,
          doc,
        })),
    },
    {
      method: "PATCH",
      path: /^\/v1\/manifest$/,
      run: (exchange) =>
        changeDocument(node, exchange, configurationLimitBytes, parseConfigurationPatch, (base, change) => ({
          tag: "patch",
          ...base,
          ...change,
        })),
    },
  ];
}
