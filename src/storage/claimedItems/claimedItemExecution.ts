import { EndpointHttp } from "../../forwarding/endpointHttp";
import { Constants } from "../../common/constants";
import { Result } from "../../common/fault";
import { Route } from "../../controlState/configuration";
import { Endpoint } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { AdmissionQueue } from "../../routing/admissionQueue";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardReplica } from "../../shard/shardReplica";
import { PutOutcome, ShardOperation } from "../../shard/shardTypes";
import { ExecutionCounters } from "../executionCounters";
import { isErrorStatus } from "../responseStatus";
import { isStillEligible, itemCriteria } from "../selectionCriteria";
import { ShardWriter } from "../shardWriter";

/** The put of a claim is retried for this long, ms. */
const CLAIM_TIMEOUT_MS = 2500;
/** The put that releases a claim is retried for this long, ms. */
const RELEASE_TIMEOUT_MS = 10_000;
/** The put of a result is retried for this long, ms. */
const RESULT_TIMEOUT_MS = 20_000;

/** One attempt of a batch item, for which capacity of the endpoint is reserved. */
export interface ClaimedItemAttempt {
  /** `JOB/INDEX`, which is also the id of the forwarded request. */
  name: string;
  shard: number;
  jobId: string;
  index: number;
  /** Number of the attempt, from 1. */
  number: number;
  body: string;
  routeName: string;
  route: Route;
  endpoint: Endpoint;
}

/**
 * Executes one attempt of a batch item under a claim. An item that was forwarded and got no response has the result
 * "unknown" and never runs again, unless its route is configured as safe to repeat.
 */
export class ClaimedItemExecution {
  /** @param running names of what this node executes under a claim: ids of live requests, and `JOB/INDEX` of items */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly writer: ShardWriter,
    private readonly queue: AdmissionQueue,
    private readonly replicas: ReadonlyMap<number, ShardReplica>,
    readonly running: Set<string>,
    private readonly counters: ExecutionCounters,
  ) {}

  /** Claims the item, forwards it and stores its result. Returns false if it has no result and is to be retried. */
  *run(attempt: ClaimedItemAttempt): Task<boolean> {
    const { name, endpoint, route, shard } = attempt;
    const claimedAt = this.env.monotonicMs();
    const claimed = yield* this.claim(attempt);
    if (!claimed.ok || claimed.value.tag !== "done") {
      this.queue.release(endpoint, true);
      // The claim may have been put nevertheless. Nothing was forwarded, so the claim can be released in either case.
      if (!claimed.ok) yield* this.release(attempt, "claim not confirmed in time");
      return false;
    }
    this.env.faultPoint(55);
    if (this.isClaimStale(attempt, claimedAt)) {
      this.queue.release(endpoint, true);
      yield* this.release(attempt, "lot ended, replica left, or the claim was too old");
      return false;
    }
    this.counters.items += 1;
    const response = yield* EndpointHttp.single(this.env, endpoint, {
      path: route.path,
      id: name,
      attempt: attempt.number,
      body: attempt.body,
      receivedChunks: [],
      deadlineMs: route.deadlineMs,
      idempotent: route.safe,
    });
    this.env.faultPoint(56);
    this.queue.release(endpoint, response.ok || response.fault.step === "deliver");
    const operation = this.operationFor(attempt, response);
    yield* this.writer.put(shard, `result-${name}-${attempt.number}`, [operation], {}, RESULT_TIMEOUT_MS);
    return operation.op === "itemResult";
  }

  private claim({ name, shard, jobId, index, number, endpoint }: ClaimedItemAttempt): Task<Result<PutOutcome>> {
    const owner = this.node.self.id;
    return this.writer.put(
      shard,
      `claim-${name}-${number}-${owner}`,
      [{ op: "itemClaim", lot: jobId, item: index, round: number, replica: endpoint.key, owner }],
      { manifest: this.node.snapshot().control?.manifest.version, view: this.replicas.get(shard)?.view?.epoch },
      CLAIM_TIMEOUT_MS,
    );
  }

  /** Whether another node may have taken over the claim, the job has ended, or the endpoint is no longer eligible. */
  private isClaimStale({ shard, jobId, route, routeName, endpoint }: ClaimedItemAttempt, claimedAt: number): boolean {
    const replica = this.replicas.get(shard);
    const job = replica?.data.jobs.get(jobId);
    return (
      this.env.monotonicMs() - claimedAt > Constants.claimMaxAgeMs ||
      !replica?.holdsLease() ||
      !this.node.recentConfirmation.isRecent() ||
      !job ||
      job.ended ||
      !isStillEligible(endpoint, itemCriteria(this.node.snapshot(), route, routeName))
    );
  }

  private release({ name, shard, jobId, index, number }: ClaimedItemAttempt, why: string): Task<Result<PutOutcome>> {
    return this.writer.put(
      shard,
      `release-${name}-${number}`,
      [{ op: "itemRelease", lot: jobId, item: index, round: number, why }],
      {},
      RELEASE_TIMEOUT_MS,
    );
  }

  /** The operation that stores the outcome of an attempt: a result, or the release of the claim. */
  private operationFor(
    { jobId, index, number, route, endpoint }: ClaimedItemAttempt,
    response: Result<{ status: number; body: string }>,
  ): ShardOperation {
    const item = { lot: jobId, item: index, round: number };
    if (response.ok) {
      const { status, body } = response.value;
      return { op: "itemResult", ...item, state: isErrorStatus(status) ? "failed" : "done", result: body };
    }
    const { tag, detail } = response.fault;
    if (tag === "refused" || route.safe) return { op: "itemRelease", ...item, why: detail };
    this.counters.unknowns += 1;
    const result = JSON.stringify({ detail: `replica ${endpoint.id}: ${detail}; it may have run` });
    return { op: "itemResult", ...item, state: "unknown", result };
  }
}
