import { Constants } from "../../common/constants";
import { Fault, Result } from "../../common/fault";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http } from "../http";
import type { ReadResponse } from "../../storage/messages/liveRequestMessages";
import type { CallerOperations } from "./callerOperations";
import { closedRequestFault } from "./closedRequest";

/** The maximum time that a shard waits for new chunks before it responds to a read. */
const READ_WAIT_MS = 800;
/** The minimum time-out of a read, which applies even if the deadline of the request is nearer. */
const MIN_READ_TIMEOUT_MS = 1000;

const serverSentEvent = (event: string, data: unknown, id?: number): string =>
  `${id === undefined ? "" : `id: ${id}\n`}event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;

const statusOf = (fault: Fault): number => (fault.tag === "notFound" ? 404 : fault.tag === "gone" ? 410 : 504);

const readProgress = (
  operations: CallerOperations,
  requestId: string,
  after: number,
  deadline: number,
): Task<Result<ReadResponse>> => {
  const leftMs = Math.min(Constants.streamTakeoverGraceMs, deadline - operations.env.monotonicMs());
  return operations.liveRequests.read(requestId, after, READ_WAIT_MS, Math.max(MIN_READ_TIMEOUT_MS, leftMs));
};

/**
 * Relays the chunks of a live request from its shard to the caller as server-sent events, each exactly once and in
 * order.
 *
 * @example
 * yield* new StreamRelay(operations, exchange, "req-1", 0, deadline).run(true);
 */
export class StreamRelay {
  private isOpen = false;
  /**
   * @param position the number of the last chunk that the caller has
   * @param deadline the deadline of the request in monotonic ms
   */
  constructor(
    private readonly operations: CallerOperations,
    private readonly exchange: HttpExchange,
    private readonly requestId: string,
    private position: number,
    private readonly deadline: number,
  ) {}

  /**
   * Relays until the request ends.
   * @param isNew whether the caller has just opened the request, so that its shard must know it
   */
  *run(isNew: boolean): Task<void> {
    const { operations } = this;
    for (;;) {
      if (this.exchange.disconnected.isClosed()) return;
      if (operations.readiness.stopping && this.isOpen) return this.redirect();
      const progress = yield* readProgress(operations, this.requestId, this.position, this.deadline);
      if (!progress.ok) return this.readFailed(progress.fault, isNew);
      if (!this.relayChunks(progress.value)) return;
      if (progress.value.closed) return this.close(progress.value);
      if (operations.env.monotonicMs() > this.deadline + Constants.streamTakeoverGraceMs)
        return this.fail({ tag: "unknown", step: "relay", member: operations.id, detail: "no end in time" });
    }
  }

  /** Tells the caller to resume at another node, since this one is stopping. */
  private redirect(): void {
    const detail = "this node is stopping: go on elsewhere with Last-Event-ID";
    this.exchange.write(serverSentEvent("move", { requestId: this.requestId, after: this.position, detail }));
    this.exchange.end();
  }

  private readFailed(fault: Fault, isNew: boolean): void {
    if (fault.tag === "notFound" && isNew)
      return this.fail({ tag: "unknown", step: "read", member: fault.member, detail: fault.detail });
    this.fail(fault, statusOf(fault));
  }

  /** Returns false if a chunk is missing; the stream has then ended with an error. */
  private relayChunks(progress: ReadResponse): boolean {
    for (const chunk of progress.pieces) {
      if (chunk.n !== this.position + 1) {
        const detail = `piece ${chunk.n} after ${this.position}`;
        this.fail({ tag: "internal", step: "relay", member: this.operations.id, detail });
        return false;
      }
      this.open();
      this.exchange.write(serverSentEvent("piece", { piece: chunk.data }, chunk.n));
      this.position = chunk.n;
    }
    return true;
  }

  private close(progress: ReadResponse): void {
    if (progress.state === "done") {
      this.open();
      this.exchange.write(serverSentEvent("end", { pieces: this.position }));
      return this.exchange.end();
    }
    const { fault, status } = closedRequestFault(progress.state, progress.outcome, this.requestId);
    if (fault.tag === "busy") this.operations.counters.rejections += 1;
    this.fail(fault, status);
  }

  private open(): void {
    if (!this.isOpen)
      this.exchange.startStream(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        "x-request-id": this.requestId,
      });
    this.isOpen = true;
  }

  /** Sends a problem as the response, or as the last event if the stream has begun. */
  private fail(fault: Fault, status?: number): void {
    const { exchange, requestId } = this;
    this.operations.counters.failures += 1;
    if (!this.isOpen) return Http.sendProblem(exchange, fault, status, { requestId });
    const problem = Http.problemOf(fault, status ?? 504, fault.tag, { requestId, after: this.position });
    exchange.write(serverSentEvent("error", problem));
    exchange.end();
  }
}

/**
 * Waits until a live request that is not a stream ends, and responds with its only chunk.
 *
 * @example
 * yield* respondWhenClosed(operations, exchange, "req-1", deadline);
 */
export function* respondWhenClosed(
  operations: CallerOperations,
  exchange: HttpExchange,
  requestId: string,
  deadline: number,
): Task<void> {
  for (;;) {
    const progress = yield* readProgress(operations, requestId, 0, deadline);
    if (!progress.ok) {
      const { step, member, detail } = progress.fault;
      return Http.sendProblem(exchange, { tag: "unknown", step, member, detail }, 504, { requestId });
    }
    const { closed, outcome, pieces, state } = progress.value;
    if (closed && state === "done")
      return exchange.send(200, { "content-type": "application/json", "x-request-id": requestId }, pieces[0].data);
    if (closed) {
      const { fault, status } = closedRequestFault(state, outcome, requestId);
      return Http.sendProblem(exchange, fault, status, { requestId });
    }
    if (operations.env.monotonicMs() > deadline + Constants.streamTakeoverGraceMs) {
      const member = operations.id;
      const fault: Fault = { tag: "unknown", step: "read", member, detail: "no end in time" };
      return Http.sendProblem(exchange, fault, 504, { requestId });
    }
  }
}
