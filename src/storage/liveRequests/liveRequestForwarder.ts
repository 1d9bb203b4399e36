import { EndpointHttp, ForwardedRequest } from "../../forwarding/endpointHttp";
import { EndpointStream } from "../../forwarding/endpointStream";
import { Constants } from "../../common/constants";
import { Endpoint } from "../../node/clusterSnapshot";
import { Node } from "../../node/node";
import { AdmissionQueue } from "../../routing/admissionQueue";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { ShardOperation } from "../../shard/shardTypes";
import { ExecutionCounters } from "../executionCounters";
import { isStillEligible, liveRequestCriteria } from "../selectionCriteria";
import { isErrorStatus } from "../responseStatus";
import { ShardWriter } from "../shardWriter";
import { AttemptOutcome, CLOSE_TIMEOUT_MS, closePutId, ExecutingRequest } from "./executingRequest";

/** The put of further chunks is retried for this long, ms: longer than a change of the shard's leader takes. */
const CHUNKS_TIMEOUT_MS = 12_000;
/** Maximum number of characters of an error response that are stored as the detail of a failure. */
const FAILURE_DETAIL_LENGTH_MAX = 500;

/** Executes one attempt of a live request: forwards it to an endpoint and stores the response in its shard. */
export class LiveRequestForwarder {
  constructor(
    private readonly env: Environment,
    private readonly node: Node,
    private readonly writer: ShardWriter,
    private readonly queue: AdmissionQueue,
    private readonly counters: ExecutionCounters,
  ) {}

  /** Forwards the request once, then releases the endpoint's capacity. */
  *forward(request: ExecutingRequest, endpoint: Endpoint, remainingMs: number): Task<AttemptOutcome> {
    if (this.mustNotForward(request, endpoint, remainingMs)) {
      this.queue.release(endpoint, true);
      return { tag: "notRun", why: "claim was too old, or the replica has left" };
    }
    const { spec, route, attempt, chunks } = request;
    const forwarded: ForwardedRequest = {
      path: route.path,
      id: spec.id,
      attempt,
      body: spec.body,
      receivedChunks: chunks,
      deadlineMs: remainingMs,
      idempotent: spec.safe,
    };
    this.env.faultPoint(52);
    return route.kind === "stream"
      ? yield* this.forwardStream(request, endpoint, forwarded)
      : yield* this.forwardSingle(request, endpoint, forwarded);
  }

  /**
   * Whether the deadline has passed, another node may have taken over the claim, or the endpoint is no longer eligible.
   * The latter two can happen after this process was frozen.
   */
  private mustNotForward(request: ExecutingRequest, endpoint: Endpoint, remainingMs: number): boolean {
    if (this.env.monotonicMs() - request.claimedAt > Constants.claimMaxAgeMs || remainingMs <= 0) return true;
    return !isStillEligible(endpoint, liveRequestCriteria(this.node.snapshot(), request, new Set()));
  }

  private *forwardSingle(
    request: ExecutingRequest,
    endpoint: Endpoint,
    forwarded: ForwardedRequest,
  ): Task<AttemptOutcome> {
    this.counters.singles += 1;
    const response = yield* EndpointHttp.single(this.env, endpoint, forwarded);
    this.queue.release(endpoint, response.ok || response.fault.step === "deliver");
    if (!response.ok)
      return { tag: response.fault.tag === "refused" ? "notRun" : "mayHaveRun", why: response.fault.detail };
    this.env.faultPoint(53);
    const { status, body } = response.value;
    const { spec, attempt } = request;
    const isDone = !isErrorStatus(status);
    const outcome = isDone ? { status } : { status, detail: body.slice(0, FAILURE_DETAIL_LENGTH_MAX) };
    const close: ShardOperation = {
      op: "close",
      id: spec.id,
      round: attempt,
      state: isDone ? "done" : "failed",
      outcome: JSON.stringify(outcome),
    };
    const operations = isDone ? [chunksOperation(request, [body]), close] : [close];
    const put = yield* this.writer.put(request.shard, closePutId(request), operations, {}, CLOSE_TIMEOUT_MS);
    return put.ok && put.value.tag === "done" ? { tag: "closed" } : { tag: "takenOver" };
  }

  private *forwardStream(
    request: ExecutingRequest,
    endpoint: Endpoint,
    forwarded: ForwardedRequest,
  ): Task<AttemptOutcome> {
    this.counters.streams += 1;
    const opened = yield* EndpointHttp.stream(this.env, endpoint, forwarded);
    if (!opened.ok) {
      const { tag, step, detail } = opened.fault;
      this.queue.release(endpoint, tag === "refused" && step === "deliver");
      return { tag: tag === "refused" ? "notRun" : "mayHaveRun", why: detail };
    }
    const interruption = yield* this.relay(request, endpoint, opened.value, forwarded.deadlineMs);
    if (interruption) return interruption;
    this.queue.release(endpoint, true);
    const { spec, attempt, chunks } = request;
    const outcome = JSON.stringify({ pieces: chunks.length });
    const close: ShardOperation = { op: "close", id: spec.id, round: attempt, state: "done", outcome };
    yield* this.writer.put(request.shard, closePutId(request), [close], {}, CLOSE_TIMEOUT_MS);
    return { tag: "closed" };
  }

  /**
   * Stores the chunks of a stream as they arrive; each is stored before the next is read. Returns undefined at the
   * regular end of the stream.
   */
  private *relay(
    request: ExecutingRequest,
    endpoint: Endpoint,
    stream: EndpointStream,
    remainingMs: number,
  ): Task<AttemptOutcome | undefined> {
    const { spec, shard, attempt, chunks } = request;
    const deadline = this.env.monotonicMs() + remainingMs;
    let chunkTimeoutMs: number = Constants.firstChunkTimeoutMs;
    for (;;) {
      const received = yield* stream.next(Math.min(chunkTimeoutMs, deadline - this.env.monotonicMs()));
      if (!received.ok) {
        this.queue.release(endpoint, false);
        return { tag: "mayHaveRun", why: received.fault.detail };
      }
      if (received.value === undefined) return undefined;
      this.env.faultPoint(53);
      const put = yield* this.writer.put(
        shard,
        `pieces-${spec.id}-${spec.life}-${attempt}-${chunks.length + 1}`,
        [chunksOperation(request, received.value)],
        {},
        CHUNKS_TIMEOUT_MS,
      );
      if (!put.ok || put.value.tag !== "done") {
        stream.abort();
        this.queue.release(endpoint, true);
        return { tag: "takenOver" };
      }
      chunks.push(...received.value);
      chunkTimeoutMs = Constants.chunkTimeoutMs;
    }
  }
}

const chunksOperation = ({ spec, attempt, chunks }: ExecutingRequest, data: string[]): ShardOperation => ({
  op: "pieces",
  id: spec.id,
  round: attempt,
  first: chunks.length + 1,
  data,
});
