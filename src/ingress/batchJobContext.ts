import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Rpc } from "../rpc/rpc";
import { Environment } from "../runtime/env";
import { ShardClient } from "../storage/shardClient";

/** What calls for batch jobs need of the process that makes them. */
export interface BatchJobContext {
  readonly env: Environment;
  readonly rpc: Rpc;
  readonly shardClient: ShardClient;
  /** The zone of this node, whose replicas are preferred for long reads. */
  readonly zone?: string;
  snapshot(): ClusterSnapshot;
}
