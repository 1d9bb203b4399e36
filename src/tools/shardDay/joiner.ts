// A process that fills a new replica of the shard from the one that is measured, and reports what it took.
// Forked by measureDay.ts with the source's address and a folder.
import { Rpc } from "../../rpc/rpc";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { runTask, createShardReplica } from "./localReplicas";
import { rounded } from "./percentiles";

/** What the fill took, as the joiner tells its parent. */
export type StateTransferReport = { tookMs: number; MB: number };

function* fillReplica(env: Environment, sourceAddress: string, folder: string): Task<StateTransferReport> {
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
  const report = await runTask("joiner", (env) => fillReplica(env, sourceAddress, folder));
  process.send!(report, () => process.exit(0));
}

void main(process.argv[2], process.argv[3]);
