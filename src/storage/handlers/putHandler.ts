/** RPC handler of puts, at the node whose replica leads the shard. */
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { ShardReplica } from "../../shard/shardReplica";
import { PutOutcome } from "../../shard/shardTypes";
import { CheckedHandlers } from "../../shard/checkedHandlers";
import { isPutRequest, PutRequest } from "../messages/shardMessages";
import { notLeaderFault } from "../notLeaderFault";

/** Time-out of a put at the leader, ms. It is longer than a view change. */
const PUT_TIMEOUT_MS = 1100;

export function addPutHandler(node: Node, wall: () => number, handlers: CheckedHandlers): void {
  handlers.forShard("shard.put", isPutRequest, function* (replica, { put }: PutRequest): Task<Result<PutOutcome>> {
    const fault = admissionFault(node, wall, replica, put.stamp);
    return fault ?? (yield* replica.put(put, PUT_TIMEOUT_MS));
  });
}

/**
 * The fault of a put that must not be admitted. By rule 1 of the paper (section 2.9) the first node that a put reaches
 * checks that its stamp is within the bounds.
 */
function admissionFault(
  node: Node,
  wall: () => number,
  replica: ShardReplica,
  stamp: Stamp,
): Result<never> | undefined {
  if (!replica.holdsLease()) return notLeaderFault(node, replica, "admit");
  if (!node.mayHoldLeases()) return Fault.fail("notLead", "admit", node.self.id, "our clock is not vouched for");
  if (!Stamp.admits(stamp.time, wall(), node.clockBounds()))
    return Fault.fail("late", "admit", node.self.id, `stamp ${Stamp.text(stamp)} outside the bounds`);
  return undefined;
}
