/** Handlers of the methods of replicated shards: replication, view changes, state transfer, repair, puts. */
import { Fault, Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Node } from "../../node/node";
import { Task } from "../../runtime/csp";
import { ShardReplica } from "../../shard/shardReplica";
import { PutOutcome } from "../../shard/shardTypes";
import { CheckedHandlers } from "../checkedHandlers";
import { isPutRequest, isShardRequest, PutRequest, ShardRequest } from "../messages/shardMessages";
import { notLeaderFault } from "../notLeaderFault";

/** How long a put may take at the leader, ms: longer than a view change. */
const PUT_MS = 1100;

/** The body of a method of the replica. */
type BodyOf<Method extends (body: never) => unknown> = ShardRequest & Parameters<Method>[0];

/** Registers the handlers by which the replicas of a shard, and control, reach this node's replica. */
export function addShardHandlers(node: Node, replicaOf: (shard: number) => ShardReplica): void {
  const add = <Body extends ShardRequest>(
    method: string,
    handler: (replica: ShardReplica, body: Body) => Task<Result<unknown>>,
  ): void =>
    node.rpc.handle(method, function* (body: unknown) {
      if (!isShardRequest(body)) return Fault.fail("invalid", method, node.self.id, "malformed request");
      return yield* handler(replicaOf(body.shard), body as Body);
    });
  add("shard.replicate", (replica, body: BodyOf<ShardReplica["onReplicate"]>) => replica.onReplicate(body));
  add("shard.seal", (replica, body: BodyOf<ShardReplica["onSeal"]>) => replica.onSeal(body));
  add("shard.install", (replica, body: BodyOf<ShardReplica["onInstall"]>) => replica.onInstall(body));
  add("shard.level", (replica, body: BodyOf<ShardReplica["onLevel"]>) => replica.onLevel(body));
  add("shard.catchUp", (replica, body: BodyOf<ShardReplica["onCatchUp"]>) => replica.onCatchUp(body));
  add("shard.fill", (replica, body: BodyOf<ShardReplica["onFill"]>) => replica.onFill(body));
  add("shard.openState", (replica, body: BodyOf<ShardReplica["onOpenState"]>) => replica.onOpenState(body));
  add("shard.segments", function* (replica) {
    return replica.onSegments();
  });
  type SegmentRead = Parameters<ShardReplica["segments"]["readChunk"]>;
  type SegmentPartRequest = ShardRequest & {
    kind: SegmentRead[0];
    number: SegmentRead[1];
    part: SegmentRead[2];
    from: SegmentRead[3];
  };
  add("shard.segmentPart", (replica, { kind, number, part, from }: SegmentPartRequest) =>
    replica.segments.readChunk(kind, number, part, from),
  );
  add("shard.mendSegments", (replica, body: BodyOf<ShardReplica["onRepairSegments"]>) =>
    replica.onRepairSegments(body),
  );
  add("shard.goesOn", function* (replica, body: BodyOf<ShardReplica["canBeExtendedFrom"]>) {
    return Fault.ok({ goesOn: replica.canBeExtendedFrom(body) });
  });
  add("shard.digest", (replica, body: BodyOf<ShardReplica["onDigest"]>) => replica.onDigest(body));
  add("shard.mend", (replica, body: BodyOf<ShardReplica["onRepair"]>) => replica.onRepair(body));
}

/** Registers the handler of puts. */
export function addPutHandler(node: Node, wall: () => number, handlers: CheckedHandlers): void {
  handlers.forShard("shard.put", isPutRequest, function* (replica, { put }: PutRequest): Task<Result<PutOutcome>> {
    const fault = putFault(node, wall, replica, put.stamp);
    return fault ?? (yield* replica.put(put, PUT_MS));
  });
}

/** Rule 1 of the paper (section 2.9): the first node that a put reaches checks that its stamp is within the bounds. */
function putFault(node: Node, wall: () => number, replica: ShardReplica, stamp: Stamp): Result<never> | undefined {
  if (!replica.holdsLease()) return notLeaderFault(node, replica, "admit");
  if (!node.mayHoldLeases()) return Fault.fail("notLead", "admit", node.self.id, "our clock is not vouched for");
  if (!Stamp.admits(stamp.time, wall(), node.clockBounds()))
    return Fault.fail("late", "admit", node.self.id, `stamp ${Stamp.text(stamp)} outside the bounds`);
  return undefined;
}
