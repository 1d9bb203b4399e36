// A process that fills a new shard replica by state transfer from the measured replica, and reports how long this took.
// measureDay.ts forks it with the address of the measured replica and a folder for the new one.
import { Rpc } from "../../rpc/rpc";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { runTask, createShardReplica } from "./localReplicas";
import { rounded } from "./percentiles";

/** Duration and size of the state transfer, sent to the parent process. */
export type StateTransferReport = { tookMs: number; MB: number };

function* transferState(env: Environment, sourceAddress: string, folder: string): Task<StateTransferReport> {
  const replica = createShardReplica(env, new Rpc(env, "day", "s2"), "s2", folder);
  const startedAt = performance.now();
  for (;;) {
    const response = yield* replica.stateTransfer.onTransfer({ shard: replica.shard, from: sourceAddress });
    if (response.ok) break;
    if (response.fault.tag !== "timeout") throw new Error(JSON.stringify(response.fault));
  }
  return { tookMs: rounded(performance.now() - startedAt), MB: rounded(replica.counts.transferredBytes / 1e6, 1) };
}

async function main(sourceAddress: string, folder: string): Promise<void> {
  const report = await runTask("joiner", (env) => transferState(env, sourceAddress, folder));
  process.send!(report, () => process.exit(0));
}

void main(process.argv[2], process.argv[3]);
