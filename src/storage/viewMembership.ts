/** Temporal reads are answered by any member of a shard's view; these tell whether this node is one. */
import { Fault } from "../common/fault";
import { Node } from "../node/node";
import { ShardReplica } from "../shard/shardReplica";

/** Whether this node is a member of the shard's newest view that it knows of. */
export function isInView(node: Node, replica: ShardReplica): boolean {
  const view = node.gossip.snapshot?.views[replica.shard] ?? replica.view;
  return replica.exists && !!view?.members.includes(node.self.id);
}

export const notInViewFault = (node: Node, step: string): { ok: false; fault: Fault } =>
  Fault.fail("notLead", step, node.self.id, "no member of the view");
