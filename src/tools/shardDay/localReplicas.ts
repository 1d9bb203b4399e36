// Creates replicas of one shard on a real disk, without a storage node around them.
import { Stamp } from "../../common/stamp";
import { Rpc } from "../../rpc/rpc";
import { Csp, Scope, Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { NodeEnvironment } from "../../runtime/nodeEnvironment";
import { ShardReplica } from "../../shard/shardReplica";

export const SHARD = 0;

/** Runs a task with a new environment; the promise settles with the task's result or its first error. */
export function runTask<T>(name: string, run: (env: Environment) => Task<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    const scope = new Scope(name, (_task, error) => reject(error instanceof Error ? error : new Error(String(error))));
    const env = NodeEnvironment.make(name, scope, () => undefined);
    Csp.go(scope, name, function* (): Task<void> {
      resolve(yield* run(env));
    });
  });
}

/** The number of bytes that were written to a disk, successfully or not. */
export type WrittenBytes = { total: number };

/** Returns an environment with the same disk, and the count of the bytes that are written to it. */
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

/** Creates a replica of the shard with its data in the folder; `self` is the id of the storage node that has it. */
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
