/** RPC handlers that report the status of a storage node to the control group and to operators. */
import { Fault } from "../../common/fault";
import { Node } from "../../node/node";
import { ShardReplica } from "../../shard/shardReplica";
import { CheckedHandlers } from "../../shard/checkedHandlers";
import { isAnyRequest, StoreShardsResponse } from "../messages/shardMessages";

export function addStatusHandlers(
  node: Node,
  replicas: ReadonlyMap<number, ShardReplica>,
  handlers: CheckedHandlers,
): void {
  const statuses = (): StoreShardsResponse["shards"] =>
    [...replicas.values()].filter((replica) => replica.exists).map((replica) => replica.status());
  handlers.add("store.status", isAnyRequest, function* () {
    return Fault.ok({ shards: statuses(), stopping: node.stopping, vouches: node.mayHoldLeases() });
  });
  handlers.add("store.shards", isAnyRequest, function* () {
    return Fault.ok({ shards: statuses(), lots: [...replicas.values()].flatMap(jobsOf) });
  });
}

/** The jobs of a shard, if this node leads it. */
function jobsOf(replica: ShardReplica): StoreShardsResponse["lots"] {
  if (replica.role !== "lead") return [];
  return [...replica.data.jobs.values()].map((job) => ({
    id: job.id,
    shard: replica.shard,
    items: job.items.length,
    open: job.open,
    ended: job.ended,
    results: job.positions.length,
  }));
}
