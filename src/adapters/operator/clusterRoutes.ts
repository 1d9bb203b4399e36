import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpRoute } from "../http";
import type { OperatorContext } from "./operatorContext";
import { CONTROL_READ_TIMEOUT_MS, readRoute } from "./readRoute";

/** The time-out of a query of one storage node. */
const SHARDS_TIMEOUT_MS = 800;

/** Returns the members, the endpoints and the control state as this node knows them. */
function* readMembers(node: NodeContext): Task<Result<unknown>> {
  const { control, endpoints, members } = node.snapshot();
  return Fault.ok({
    members: members.map(({ id, program, district, address, http, state }) => ({
      id,
      program,
      district,
      address,
      http,
      state,
    })),
    replicas: endpoints,
    group: control?.group ?? null,
    frame: control?.index ?? 0,
    manifest: control?.manifest.version ?? 0,
    views: Object.values(control?.views ?? {}),
    drained: control?.drained ?? [],
    retiring: control?.retiring ?? [],
    releases: control?.releases ?? {},
  });
}

/** Returns the configuration and the policies that this node applies. Fault: "busy" if the node rejects new requests. */
function* readInForce({ node, hooks }: OperatorContext): Task<Result<unknown>> {
  const unreadyReason = hooks.unreadyReason();
  if (unreadyReason) return Fault.busy("read what is in force", node.id, unreadyReason, Constants.retryAfterMs);
  const { control } = node.snapshot();
  return Fault.ok(control ? { frame: control.index, manifest: control.manifest, policies: control.policies } : null);
}

/** Returns the shard replicas of all storage nodes that respond. */
function* readShards(node: NodeContext): Task<Result<unknown>> {
  const stores: unknown[] = [];
  for (const member of node.snapshot().members.filter((each) => each.program === "store")) {
    const response = yield* node.rpc.call(member.address, "store.shards", {}, SHARDS_TIMEOUT_MS);
    if (response.ok) stores.push({ store: member.id, ...response.value });
  }
  return Fault.ok({ stores });
}

/**
 * Routes that return the state of the cluster as this node knows it, and of the voters as the control leader knows it.
 *
 * @example
 * const routes = clusterRoutes(context);
 */
export const clusterRoutes = (context: OperatorContext): HttpRoute[] => [
  readRoute(context.node.id, /^\/v1\/members$/, () => readMembers(context.node)),
  readRoute(context.node.id, /^\/v1\/voters$/, () =>
    context.node.control.request({ op: "read", what: "voters" }, CONTROL_READ_TIMEOUT_MS),
  ),
  readRoute(context.node.id, /^\/v1\/inforce$/, () => readInForce(context)),
  readRoute(context.node.id, /^\/v1\/shards$/, () => readShards(context.node)),
];
