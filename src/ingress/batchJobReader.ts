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

/** Pause before the replicas are called again, in ms. */
const retryPauseMs = 100;
/** How long a replica may take beyond the wait that it was asked for, in ms. */
const resultsGraceMs = 700;
/** How long results are tried for beyond that wait, and the least wait that counts, in ms. */
const resultsRetryMs = 2500;
const resultsMinWaitMs = 500;

/** Faults by which a replica says for certain that there is nothing to read. */
const isCertain = (fault: Fault): boolean => fault.tag === "notFound" || fault.tag === "gone";

/**
 * Reads batch jobs from the replicas of their shards.
 *
 * @example
 * const page = yield* new BatchJobReader(host).list("job-17", 0, 1000);
 */
export class BatchJobReader implements JobReader {
  constructor(private readonly host: BatchJobContext) {}

  list(id: string, from: number, waitMs: number): Task<Result<JobResultPage>> {
    // lists are long: a replica in our zone comes first, the leader next
    return this.callReplicas(id, "lot.list", { from, waitMs }, waitMs, this.host.zone);
  }

  itemBody(id: string, itemId: string): Task<Result<ItemBodyResponse>> {
    return this.callReplicas(id, "lot.itemBody", { item: itemId }, 0);
  }

  status(id: string): Task<Result<JobStatusResponse>> {
    return callJobLeader(this.host.shardClient, "lot.status", id, () => ({}));
  }

  *results(id: string, after: number, limit: number, waitMs: number): Task<Result<JobResultsResponse>> {
    const { env, rpc, shardClient } = this.host;
    const shard = shardClient.shardOf(id);
    const until = env.mono() + Math.max(waitMs, resultsMinWaitMs) + resultsRetryMs;
    let last: Result<JobResultsResponse> = Fault.fail("timeout", "lot results", `shard ${shard}`, "no view is known");
    while (env.mono() < until) {
      for (const address of this.leaderFirst(shard)) {
        const body = { shard, id, after, limit, waitMs };
        last = yield* rpc.call(address, "lot.results", body, waitMs + resultsGraceMs);
        if (last.ok || isCertain(last.fault)) return last;
      }
      yield* EnvironmentTools.sleep(env, retryPauseMs);
    }
    return last.ok ? last : Fault.busy("lot results", last.fault.member, last.fault.detail, Constants.retryAfterMs);
  }

  /** Addresses of a shard's replicas, its leader's first; an address is looked up only when its turn comes. */
  private *leaderFirst(shard: number): Generator<string, void> {
    const view = this.host.snapshot().control?.views[shard];
    const ids = view ? [view.lead, ...view.members.filter((member) => member !== view.lead)] : [];
    for (const id of ids) {
      const address = this.host.snapshot().members.find((member) => member.id === id)?.address;
      if (address) yield address;
    }
  }

  /** Calls the replicas of the job's shard one after the other, at first preferably in `nearZone`, until one can respond. */
  private *callReplicas<Method extends "lot.list" | "lot.itemBody">(
    id: string,
    method: Method,
    body: Omit<RequestOf<Method>, "shard" | "id" | "anyAge">,
    waitMs: number,
    nearZone?: string,
  ): Task<Result<ResponseOf<Method>>> {
    const { env, rpc, shardClient } = this.host;
    const shard = shardClient.shardOf(id);
    const until = env.mono() + waitMs + Constants.jobReadMs;
    const viewNow = () => this.host.snapshot().control?.views[shard];
    let last: Result<ResponseOf<Method>> = Fault.fail("timeout", method, `shard ${shard}`, "no view is known");
    for (let attempt = 0; ; attempt += 1) {
      const epoch = viewNow()?.epoch;
      for (const address of this.replicaAddresses(shard, attempt === 0 ? nearZone : undefined)) {
        const leftMs = until - env.mono();
        if (leftMs <= 0) continue;
        const timeoutMs = Math.min(leftMs, waitMs + Constants.jobReadAttemptMs);
        const request = { ...body, shard, id, anyAge: attempt > 0 } as RequestOf<Method>;
        last = yield* rpc.call(address, method, request, timeoutMs, () => viewNow()?.epoch !== epoch);
        if (last.ok || isCertain(last.fault)) return last;
      }
      if (env.mono() + retryPauseMs >= until) break;
      yield* EnvironmentTools.sleep(env, retryPauseMs);
    }
    return last.ok ? last : Fault.busy(method, last.fault.member, last.fault.detail, Constants.retryAfterMs);
  }

  /** Those in `nearZone` first, then the leader, then the others. */
  private replicaAddresses(shard: number, nearZone: string | undefined): string[] {
    const snapshot = this.host.snapshot();
    const view = snapshot.control?.views[shard];
    const replicas = (view?.members ?? []).flatMap((id) => snapshot.members.find((each) => each.id === id) ?? []);
    const rank = ({ id, district }: { id: string; district: string }): number =>
      district === nearZone ? 0 : id === view!.lead ? 1 : 2;
    return replicas.sort((left, right) => rank(left) - rank(right)).map(({ address }) => address);
  }
}
