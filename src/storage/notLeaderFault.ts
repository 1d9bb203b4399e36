import { Fault } from "../common/fault";
import { Node } from "../node/node";
import { ShardReplica } from "../shard/shardReplica";

/** The fault of a replica that doesn't lead its shard; its detail is the id of the leader, as far as known. */
export const notLeaderFault = (node: Node, replica: ShardReplica, step: string): { ok: false; fault: Fault } =>
  Fault.fail("notLead", step, node.self.id, replica.view?.lead ?? "");
