import { Fault } from "../common/fault";
import { Node } from "../node/node";
import { ShardReplica } from "../shard/shardReplica";

/** The fault of a replica that does not lead its shard. Its detail is the id of the leader; empty if it is unknown. */
export const notLeaderFault = (node: Node, replica: ShardReplica, step: string): { ok: false; fault: Fault } =>
  Fault.fail("notLead", step, node.self.id, replica.view?.lead ?? "");
