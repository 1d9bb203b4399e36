// Replicas of one shard on a real disk, run outside a node.
import { Stamp } from "../../common/stamp";
import { Rpc } from "../../rpc/rpc";
import { Csp, Scope, Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { ShardReplica } from "../../shard/shardReplica";

export const SHARD = 0;

/** Runs a task with an environment of its own; the promise settles with the task's result or its first error. */
export function runTask<T>(name: string, body: (env: Environment) => Task<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const scope = new Scope(name, (_task, error) => reject(error instanceof Error ? error : new Error(String(error))));
    const env = NodeEnvironment.make(name, scope, () => undefined);
    Csp.go(scope, name, function* (): Task<void> {
      resolve(yield* body(env));
    });
  });
}

/** How many bytes a disk was told to write. */
export type WrittenBytes = { total: number };

/** The environment with a count of the bytes that its disk was told to write. */
export function countWrittenBytes(env: Environment): { env: Environment; written: WrittenBytes } {
  const written = { total: 0 };
  const disk = Object.create(env.disk) as Environment["disk"];
  disk.write = (file, data) => {
    written.total += data.length;
    return env.disk.write(file, data);
  };
  disk.append = (file, data) => {
    written.total += data.length;
    return env.disk.append(file, data);
  };
  return { env: { ...env, disk }, written };
}

/** A replica of the shard with its data in the folder; `self` is the id of the store that holds it. */
export function createShardReplica(env: Environment, rpc: Rpc, self: string, folder: string): ShardReplica {
  return new ShardReplica(env, rpc, self, SHARD, folder, {
    addressOf: () => undefined,
    bounds: () => Stamp.defaults,
    isClockTrusted: () => true,
    putCompleted() {},
    leadershipStarted() {},
    leadershipStopped() {},
    viewChangeNeeded() {},
  });
}
