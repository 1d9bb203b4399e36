/** Any member of a shard's view serves temporal reads; these functions check whether this node is a member. */
import { Fault } from "../common/fault";
import { Node } from "../node/node";
import { ShardReplica } from "../shard/shardReplica";

/** Whether this node is a member of the newest view of the shard that it knows. */
export function isInView(node: Node, replica: ShardReplica): boolean {
  const view = node.gossip.snapshot?.views[replica.shard] ?? replica.view;
  return replica.exists && !!view?.members.includes(node.self.id);
}

/** The fault of a node that is not a member of the shard's view. */
export const notInViewFault = (node: Node, step: string): { ok: false; fault: Fault } =>
  Fault.fail("notLead", step, node.self.id, "no member of the view");
