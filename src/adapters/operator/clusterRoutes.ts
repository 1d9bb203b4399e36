import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import type { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpRoute } from "../http";
import type { OperatorContext } from "./operatorContext";
import { readRoute } from "./readRoute";

const shardsTimeoutMs = 800;

/** Members, endpoints and placement as this node knows them. */
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

/** The configuration and policies that this node acts on; a node that rejects new work acts on none. */
function* readInForce({ node, hooks }: OperatorContext): Task<Result<unknown>> {
  const unreadyReason = hooks.unreadyReason();
  if (unreadyReason) return Fault.busy("read what is in force", node.id, unreadyReason, Constants.retryAfterMs);
  const { control } = node.snapshot();
  return Fault.ok(control ? { frame: control.index, manifest: control.manifest, policies: control.policies } : null);
}

/** The shard replicas of all storage nodes that respond. */
function* readShards(node: NodeContext): Task<Result<unknown>> {
  const stores: unknown[] = [];
  for (const member of node.snapshot().members.filter((each) => each.program === "store")) {
    const response = yield* node.rpc.call(member.address, "store.shards", {}, shardsTimeoutMs);
    if (response.ok) stores.push({ store: member.id, ...response.value });
  }
  return Fault.ok({ stores });
}

/**
 * The cluster as this node sees it.
 *
 * @example
 * const routes = clusterRoutes(context);
 */
export const clusterRoutes = (context: OperatorContext): HttpRoute[] => [
  readRoute(context.node.id, /^\/v1\/members$/, () => readMembers(context.node)),
  readRoute(context.node.id, /^\/v1\/inforce$/, () => readInForce(context)),
  readRoute(context.node.id, /^\/v1\/shards$/, () => readShards(context.node)),
];
