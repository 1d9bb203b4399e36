import { DirectHttp, DirectResponse } from "../../forwarding/directHttp";
import { EventStreamReader } from "../../forwarding/eventStreamReader";
import { HeaderNames } from "../../forwarding/headerNames";
import { Constants } from "../../common/constants";
import { Endpoint } from "../../node/clusterSnapshot";
import { EndpointSelector } from "../../routing/endpointSelector";
import { Task } from "../../runtime/csp";
import { Environment } from "../../runtime/env";
import { BatchJob } from "../../shard/shardTypes";
import { ItemCounters } from "./itemCounters";
import { giveUpAt } from "./jobDeadlines";
import { OpenJob, progressOf } from "./openJob";
import { OpenJobs } from "./openJobs";

/** The minimum deadline that is sent to an endpoint with an item, ms. */
const REMAINING_TIME_MIN_MS = 1000;
/** Priority of batch items at an endpoint: after all live requests, whose priorities start at 0. */
const ITEM_PRIORITY = 9;

/** Outcome of one attempt of an item. */
export type ItemAttemptOutcome =
  | { tag: "done"; result: string }
  /** No attempt can succeed. */
  | { tag: "impossible"; why: string }
  /** The endpoint ran the item and failed. */
  | { tag: "failed"; why: string }
  /** The item did not run, or its response was interrupted. It is retried, at another endpoint if there is one. */
  | { tag: "interrupted"; why: string }
  /** The job has ended, or this node no longer leads its shard. */
  | { tag: "cancelled" };

/**
 * Runs one attempt of an item that is a whole request. A stream that was interrupted in an earlier attempt is resumed
 * after the last event that was received.
 */
export class ItemExecution {
  constructor(
    private readonly env: Environment,
    private readonly endpointSelector: EndpointSelector,
    private readonly openJobs: OpenJobs,
    private readonly names: HeaderNames,
    private readonly counters: ItemCounters,
  ) {}

  /** Forwards the item and reads its response, then releases the endpoint's capacity. */
  *attempt(open: OpenJob, job: BatchJob, item: number, endpoint: Endpoint): Task<ItemAttemptOutcome> {
    const lastEventId = open.progress.get(item)?.lastEventId ?? 0;
    const request = this.requestFor(job, item, lastEventId);
    this.env.faultPoint(57);
    const opened = yield* DirectHttp.open(this.env, this.names, endpoint, request, Constants.itemResponseHeadMs);
    if (!opened.ok) {
      const { tag, step, detail } = opened.fault;
      this.endpointSelector.requestEnded(endpoint, tag === "refused" && step === "deliver");
      return this.openJobs.mayContinue(open) ? { tag: "interrupted", why: detail } : { tag: "cancelled" };
    }
    if (!this.openJobs.mayContinue(open)) {
      opened.value.response.abort();
      this.endpointSelector.requestEnded(endpoint, true);
      return { tag: "cancelled" };
    }
    if (lastEventId > 0) this.counters.resumed += 1;
    open.running.set(item, opened.value.response);
    const outcome = yield* this.readResponse(open, item, endpoint, opened.value);
    this.env.faultPoint(58);
    this.endpointSelector.requestEnded(endpoint, outcome.tag !== "interrupted" || !this.openJobs.mayContinue(open));
    return this.openJobs.mayContinue(open) || outcome.tag === "done" ? outcome : { tag: "cancelled" };
  }

  private requestFor(job: BatchJob, item: number, lastEventId: number): Parameters<typeof DirectHttp.open>[3] {
    const { id, target, headers } = job.requests![item];
    const remainingMs = Math.max(REMAINING_TIME_MIN_MS, giveUpAt(job, job.kept) - this.env.wallClockMs());
    return {
      method: "POST",
      target,
      headers: { ...headers, ...(job.kept.host ? { host: job.kept.host } : {}) },
      body: Buffer.from(job.bodies[item], "base64"),
      id,
      remainingMs: Math.min(remainingMs, Constants.deadlineMaxMs),
      lastEventId,
      priority: ITEM_PRIORITY,
    };
  }

  private *readResponse(
    open: OpenJob,
    item: number,
    endpoint: Endpoint,
    opened: DirectResponse,
  ): Task<ItemAttemptOutcome> {
    const { status, headers, response } = opened;
    if (status < 200 || status >= 300) {
      response.discardBody();
      return failureFor(status, `replica ${endpoint.id} replied ${status}`);
    }
    if (this.names.endpointSignature !== "" && headers[this.names.endpointSignature] === undefined) {
      response.abort();
      return { tag: "interrupted", why: "a success without the replica's mark" };
    }
    if ((headers["content-type"] ?? "").includes("event-stream"))
      return yield* this.readEvents(open, item, endpoint, opened);
    const progress = progressOf(open, item);
    const body = yield* DirectHttp.readBody(this.env, endpoint, opened, Constants.chunkTimeoutMs);
    if (!body.ok || progress.lastEventId > 0)
      return { tag: "interrupted", why: "reply cut, or no events to go on with" };
    return { tag: "done", result: body.value.toString("utf8") };
  }

  /** Reads a stream. Its result is the data of all events, one line for each. */
  private *readEvents(
    open: OpenJob,
    item: number,
    endpoint: Endpoint,
    { response }: DirectResponse,
  ): Task<ItemAttemptOutcome> {
    const progress = progressOf(open, item);
    const reader = new EventStreamReader(this.env, endpoint.id, response, progress.lastEventId);
    for (;;) {
      const received = yield* reader.next(Constants.chunkTimeoutMs);
      if (!received.ok) return { tag: "interrupted", why: received.fault.detail };
      if (received.value === undefined) break;
      for (const event of received.value) {
        progress.events.push(event.data);
        progress.lastEventId = event.id;
      }
    }
    if (progress.events.length === 0) return { tag: "interrupted", why: "a stream without events" };
    return { tag: "done", result: progress.events.join("\n") };
  }
}

/** The outcome of a response whose status is not a success. */
function failureFor(status: number, why: string): ItemAttemptOutcome {
  if (status === 422) return { tag: "impossible", why };
  return { tag: status === 500 ? "failed" : "interrupted", why };
}
