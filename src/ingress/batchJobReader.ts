import type { JobReader } from "../adapters/caller/callerOperations";
import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { RequestOf, ResponseOf } from "../rpc/methods";
import { Task } from "../runtime/csp";
import { EnvironmentTools } from "../runtime/env";
import type {
  ItemBodyResponse,
  JobResultPage,
  JobResultsResponse,
  JobStatusResponse,
} from "../storage/messages/batchJobMessages";
import { BatchJobContext } from "./batchJobContext";
import { callJobLeader } from "./jobLeaderCall";

/** Delay before the replicas are called again, in ms. */
const RETRY_DELAY_MS = 100;
/** How much longer than the requested wait a replica may take, in ms. */
const RESULTS_GRACE_MS = 700;
/** How long attempts to read results go on after the requested wait, in ms. */
const RESULTS_RETRY_MS = 2500;
/** Lower bound of the wait in that calculation, in ms. */
const RESULTS_MIN_WAIT_MS = 500;

/** Whether the fault says definitively that there is nothing to read. */
const isDefinitive = (fault: Fault): boolean => fault.tag === "notFound" || fault.tag === "gone";

/** Reads batch jobs from the replicas of their shards. */
export class BatchJobReader implements JobReader {
  constructor(private readonly context: BatchJobContext) {}

  list(id: string, from: number, waitMs: number): Task<Result<JobResultPage>> {
    // Lists are long, so a replica in this zone is called first and the leader next.
    return this.callReplicas(id, "lot.list", { from, waitMs }, waitMs, this.context.zone);
  }

  itemBody(id: string, itemId: string): Task<Result<ItemBodyResponse>> {
    return this.callReplicas(id, "lot.itemBody", { item: itemId }, 0);
  }

  status(id: string): Task<Result<JobStatusResponse>> {
    return callJobLeader(this.context.shardClient, "lot.status", id, () => ({}));
  }

  *results(id: string, after: number, limit: number, waitMs: number): Task<Result<JobResultsResponse>> {
    const { env, rpc, shardClient } = this.context;
    const shard = shardClient.shardOf(id);
    const deadline = env.monotonicMs() + Math.max(waitMs, RESULTS_MIN_WAIT_MS) + RESULTS_RETRY_MS;
    let lastResponse: Result<JobResultsResponse> = Fault.fail(
      "timeout",
      "lot results",
      `shard ${shard}`,
      "no view is known",
    );
    while (env.monotonicMs() < deadline) {
      for (const address of this.leaderFirst(shard)) {
        const body = { shard, id, after, limit, waitMs };
        lastResponse = yield* rpc.call(address, "lot.results", body, waitMs + RESULTS_GRACE_MS);
        if (lastResponse.ok || isDefinitive(lastResponse.fault)) return lastResponse;
      }
      yield* EnvironmentTools.sleep(env, RETRY_DELAY_MS);
    }
    return lastResponse.ok
      ? lastResponse
      : Fault.busy("lot results", lastResponse.fault.member, lastResponse.fault.detail, Constants.retryAfterMs);
  }

  /** Yields the addresses of a shard's replicas, the leader's first; looks up each address only when it is requested. */
  private *leaderFirst(shard: number): Generator<string, void> {
    const view = this.context.snapshot().control?.views[shard];
    const ids = view ? [view.lead, ...view.members.filter((member) => member !== view.lead)] : [];
    for (const id of ids) {
      const address = this.context.snapshot().members.find((member) => member.id === id)?.address;
      if (address) yield address;
    }
  }

  /** Calls the replicas of the job's shard in turn until one responds; the first attempt prefers those in `nearZone`. */
  private *callReplicas<Method extends "lot.list" | "lot.itemBody">(
    id: string,
    method: Method,
    body: Omit<RequestOf<Method>, "shard" | "id" | "anyAge">,
    waitMs: number,
    nearZone?: string,
  ): Task<Result<ResponseOf<Method>>> {
    const { env, rpc, shardClient } = this.context;
    const shard = shardClient.shardOf(id);
    const deadline = env.monotonicMs() + waitMs + Constants.jobListTimeoutMs;
    const currentView = () => this.context.snapshot().control?.views[shard];
    let lastResponse: Result<ResponseOf<Method>> = Fault.fail("timeout", method, `shard ${shard}`, "no view is known");
    for (let attempt = 0; ; attempt += 1) {
      const epoch = currentView()?.epoch;
      for (const address of this.replicaAddresses(shard, attempt === 0 ? nearZone : undefined)) {
        const leftMs = deadline - env.monotonicMs();
        if (leftMs <= 0) continue;
        const timeoutMs = Math.min(leftMs, waitMs + Constants.jobListAttemptMs);
        const request = { ...body, shard, id, anyAge: attempt > 0 } as RequestOf<Method>;
        lastResponse = yield* rpc.call(address, method, request, timeoutMs, () => currentView()?.epoch !== epoch);
        if (lastResponse.ok || isDefinitive(lastResponse.fault)) return lastResponse;
      }
      if (env.monotonicMs() + RETRY_DELAY_MS >= deadline) break;
      yield* EnvironmentTools.sleep(env, RETRY_DELAY_MS);
    }
    return lastResponse.ok
      ? lastResponse
      : Fault.busy(method, lastResponse.fault.member, lastResponse.fault.detail, Constants.retryAfterMs);
  }

  /** Returns the addresses of the replicas in `nearZone`, then the leader's, then the others. */
  private replicaAddresses(shard: number, nearZone: string | undefined): string[] {
    const snapshot = this.context.snapshot();
    const view = snapshot.control?.views[shard];
    const replicas = (view?.members ?? []).flatMap((id) => snapshot.members.find((each) => each.id === id) ?? []);
    const rank = ({ id, district }: { id: string; district: string }): number =>
      district === nearZone ? 0 : id === view!.lead ? 1 : 2;
    return replicas.sort((left, right) => rank(left) - rank(right)).map(({ address }) => address);
  }
}
