import { Constants } from "../../common/constants";
import { Result } from "../../common/fault";
import { Stamp } from "../../common/stamp";
import { Endpoint } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { AdmissionQueue } from "../../routing/admissionQueue";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { PutOutcome, ShardOperation } from "../../shard/shardTypes";
import { ExecutionCounters } from "../executionCounters";
import { LiveRequestSpec } from "../messages/liveRequestMessages";
import { liveRequestCriteria } from "../selectionCriteria";
import { ShardWriter } from "../shardWriter";
import { AttemptOutcome, CLOSE_TIMEOUT_MS, closePutId, ExecutingRequest } from "./executingRequest";
import { LiveRequestForwarder } from "./liveRequestForwarder";

/** The put that claims a further attempt is retried for this long, ms. */
const CLAIM_TIMEOUT_MS = 10_000;

/**
 * How much longer a request may wait for capacity, ms. The limit is counted from its submission, over all its attempts;
 * then the request is refused.
 */
export const remainingWaitMs = (env: Environment, spec: LiveRequestSpec): number =>
  Constants.admissionWaitMaxMs - (env.wallClockMs() - Stamp.parse(spec.life)!.time);

/**
 * Executes live requests from their claim to their close, in as many attempts as are safe. A request that was forwarded
 * and got no response is closed as "unknown" and never runs again, unless its route is configured as safe to repeat.
 */
export class LiveRequestExecution {
  /**
   * @param running names of what this node executes under a claim: ids of live requests, and `JOB/INDEX` of items
   * @param onFinished called when this node has finished with a request
   */
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly writer: ShardWriter,
    private readonly queue: AdmissionQueue,
    private readonly forwarder: LiveRequestForwarder,
    readonly running: Set<string>,
    private readonly counters: ExecutionCounters,
    private readonly onFinished: (id: string) => void,
  ) {}

  /**
   * Runs a request until it is closed or another node has taken it over.
   * @param claimedEndpoint endpoint of the claimed attempt; undefined if no attempt is claimed yet
   */
  *run(request: ExecutingRequest, claimedEndpoint: Endpoint | undefined): Task<void> {
    const exclude = new Set<string>();
    let endpoint = claimedEndpoint;
    try {
      for (;;) {
        let release: ShardOperation[] = [];
        if (endpoint) {
          const outcome = yield* this.forwarder.forward(request, endpoint, this.remainingMs(request));
          this.env.faultPoint(54);
          if (outcome.tag === "closed" || outcome.tag === "takenOver") return;
          exclude.add(endpoint.key);
          if (!(yield* this.mayRetry(request, endpoint, outcome))) return;
          release = [{ op: "release", id: request.spec.id, round: request.attempt, why: outcome.why }];
        }
        const next = yield* this.nextEndpoint(request, exclude);
        if (!next) return yield* this.closeWithoutEndpoint(request, release);
        if (!(yield* this.claimNextAttempt(request, next, release))) return;
        endpoint = next;
      }
    } finally {
      this.running.delete(request.spec.id);
      this.onFinished(request.spec.id);
    }
  }

  private remainingMs = ({ spec }: ExecutingRequest): number => spec.deadlineAt - this.env.wallClockMs();

  /** Whether a further attempt is safe. If not, the request is closed. */
  private *mayRetry(
    request: ExecutingRequest,
    endpoint: Endpoint,
    outcome: Extract<AttemptOutcome, { why: string }>,
  ): Task<boolean> {
    const { spec, chunks } = request;
    if (outcome.tag === "notRun") {
      this.counters.released += 1;
      return true;
    }
    if (!spec.safe) {
      this.counters.unknowns += 1;
      yield* this.close(request, "unknown", { detail: `replica ${endpoint.id}: ${outcome.why}; it may have run` });
      return false;
    }
    const canContinue = chunks.length === 0 || spec.exact;
    if (!canContinue) {
      this.counters.failed += 1;
      const detail = `replica ${endpoint.id} was lost after piece ${chunks.length}: ${outcome.why}`;
      yield* this.close(request, "failed", { detail });
      return false;
    }
    this.counters.resumed += 1;
    return true;
  }

  /** Reserves capacity of an endpoint; undefined if there is none in time. */
  private *nextEndpoint(request: ExecutingRequest, exclude: Set<string>): Task<Endpoint | undefined> {
    const remainingMs = this.remainingMs(request);
    if (remainingMs <= 0) return undefined;
    const waitMs = request.chunks.length > 0 ? Constants.resumeWaitMs : remainingWaitMs(this.env, request.spec);
    return yield* this.queue.acquire(
      () => liveRequestCriteria(this.node.snapshot(), request, exclude),
      request.spec.order,
      this.env.wallClockMs(),
      Math.min(this.remainingMs(request), waitMs),
    );
  }

  /** Releases the previous attempt and claims the next one in one put; false if that put had no effect. */
  private *claimNextAttempt(request: ExecutingRequest, endpoint: Endpoint, release: ShardOperation[]): Task<boolean> {
    const { spec, shard } = request;
    request.claimedAt = this.env.monotonicMs();
    request.attempt += 1;
    const claimed = yield* this.writer.put(
      shard,
      `claim-${spec.id}-${spec.life}-${request.attempt}-${this.node.self.id}`,
      [...release, this.claimOperation(request, request.attempt, endpoint.key)],
      {},
      CLAIM_TIMEOUT_MS,
    );
    if (claimed.ok && claimed.value.tag === "done") return true;
    this.queue.release(endpoint, true);
    return false;
  }

  private claimOperation = ({ spec }: ExecutingRequest, attempt: number, endpoint: string): ShardOperation => ({
    op: "claim",
    id: spec.id,
    round: attempt,
    replica: endpoint,
    owner: this.node.self.id,
  });

  /** Closes a request for which no endpoint has capacity: as refused, or as failed after a part of its response. */
  private *closeWithoutEndpoint(request: ExecutingRequest, release: ShardOperation[]): Task<void> {
    const { spec, shard, attempt, chunks, route } = request;
    if (chunks.length === 0) {
      const retryAfterMs = this.queue.retryAfterMs(route.pool);
      yield* this.close(request, "refused", { detail: "no replica would take it", retryAfterMs }, release);
      return;
    }
    // Only a claimed attempt can be closed as failed.
    const outcome = JSON.stringify({ detail: "no replica to go on with" });
    const operations: ShardOperation[] = [
      ...release,
      this.claimOperation(request, attempt + 1, ""),
      { op: "close", id: spec.id, round: attempt + 1, state: "failed", outcome },
    ];
    yield* this.writer.put(shard, closePutId(request), operations, { note: "failed" }, CLOSE_TIMEOUT_MS);
  }

  private close(
    request: ExecutingRequest,
    state: "failed" | "unknown" | "refused",
    outcome: { detail: string; retryAfterMs?: number },
    release: ShardOperation[] = [],
  ): Task<Result<PutOutcome>> {
    const { spec, shard, attempt } = request;
    const close: ShardOperation = {
      op: "close",
      id: spec.id,
      round: attempt,
      state,
      outcome: JSON.stringify(outcome),
    };
    return this.writer.put(shard, closePutId(request), [...release, close], { note: state }, CLOSE_TIMEOUT_MS);
  }
}
