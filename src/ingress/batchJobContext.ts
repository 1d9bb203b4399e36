import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Rpc } from "../rpc/rpc";
import { Environment } from "../runtime/env";
import { ShardClient } from "../storage/shardClient";

/** What the submission and reading of batch jobs need from the process that they run in. */
export interface BatchJobContext {
  readonly env: Environment;
  readonly rpc: Rpc;
  readonly shardClient: ShardClient;
  /** The zone of this node; replicas in this zone are preferred for long reads. */
  readonly zone?: string;
  snapshot(): ClusterSnapshot;
}
