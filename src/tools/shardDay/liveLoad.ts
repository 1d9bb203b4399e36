import { monitorEventLoopDelay } from "perf_hooks";
import { Csp, Task } from "../../runtime/csp";
import { Environment, EnvironmentTools } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { percentile, rounded } from "./percentiles";
import { uniqueId, put, requestOperations } from "./workload";

const PUT_INTERVAL_MS = 10;
/** Time for the last puts to complete. */
const LAST_PUTS_MS = 200;
const NANOSECONDS_PER_MILLISECOND = 1e6;

/** The number and latencies of puts, and the longest stall of the event loop, in milliseconds. */
export type LiveLoadReport = { puts: number; p50: number; p99: number; stallMs: number };

/** Puts 100 requests per second until the condition holds; reports their latencies and the longest stall of the event loop. */
export function* runLiveLoad(env: Environment, replica: ShardReplica, isOver: () => boolean): Task<LiveLoadReport> {
  const latencies: number[] = [];
  const eventLoopDelay = monitorEventLoopDelay({ resolution: 1 });
  eventLoopDelay.enable();
  while (!isOver()) {
    Csp.go(env.scope, "put", function* (): Task<void> {
      const startedAt = performance.now();
      yield* put(env, replica, requestOperations(uniqueId("live")));
      latencies.push(performance.now() - startedAt);
    });
    yield* EnvironmentTools.sleep(env, PUT_INTERVAL_MS);
  }
  yield* EnvironmentTools.sleep(env, LAST_PUTS_MS);
  eventLoopDelay.disable();
  latencies.sort((left, right) => left - right);
  return {
    puts: latencies.length,
    p50: rounded(percentile(latencies, 0.5), 1),
    p99: rounded(percentile(latencies, 0.99), 1),
    stallMs: rounded(eventLoopDelay.max / NANOSECONDS_PER_MILLISECOND),
  };
}
