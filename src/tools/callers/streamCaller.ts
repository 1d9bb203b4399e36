import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpResponse } from "../../runtime/env";
import { Result } from "../../common/fault";
import { TrafficMix } from "../deployment";
import { StandInEndpoint } from "../standInEndpoint";
import { CallerClient, ProblemBody } from "./callerClient";
import { readEvents, ServerSentEvent } from "./serverSentEvents";

/** Time-out for a stream including all of its resumptions, ms. */
const STREAM_TIMEOUT_MS = 45_000;
/** Time-out for the head of a response, ms. */
const REQUEST_TIMEOUT_MS = 20_000;
/** Time-out for all events of one response, ms. */
const EVENTS_TIMEOUT_MS = 30_000;
const ERROR_BODY_TIMEOUT_MS = 2000;
/** Delay before a rejected resumption is retried, ms. */
const REJECTED_DELAY_MS = 300;
/** Delay before a stream is resumed whose connection closed, ms. */
const CONNECTION_LOST_DELAY_MS = 100;
/** Delay before a stream is resumed that its ingress handed over, or that ended in an error or a time-out, ms. */
const HANDOVER_DELAY_MS = 20;

/** One kind of streams in the traffic mix. */
type StreamMix = TrafficMix["streams"][number];

/** One stream of a simulated caller: checks every chunk, and resumes at a random ingress after an interruption. */
class StreamCall {
  private readonly startedAt: number;
  private readonly prompt: string;
  private requestId = "";
  private lastEventId = 0;
  private resumptions = 0;
  private firstEventMs = 0;
  private complete = false;
  private problem: ProblemBody | undefined;

  constructor(
    private readonly client: CallerClient,
    private readonly n: number,
    private readonly mix: StreamMix,
  ) {
    this.startedAt = client.env.monotonicMs();
    const prefixNumber = Math.floor(client.env.random() * mix.prefixes);
    const prefix = `system prompt ${prefixNumber} of ${mix.binding} `.padEnd(mix.prefixBytes, "kiln ");
    this.prompt = `${prefix} question ${client.idPrefix}-${n}`;
  }

  /** Reads the stream until it ends, fails or times out, and records the outcome in the history. */
  *run(): Task<void> {
    const { env } = this.client;
    const deadline = env.monotonicMs() + STREAM_TIMEOUT_MS;
    while (!this.complete && !this.problem && env.monotonicMs() < deadline) {
      const response = yield* this.send();
      if (!response.ok || response.value.status !== 200) {
        if (!(yield* this.canContinueAfterRejection(response))) return;
        continue;
      }
      this.requestId = response.value.headers["x-request-id"];
      const end = yield* readEvents(env, response.value, EVENTS_TIMEOUT_MS, (event) => this.accept(event));
      if (this.complete || this.problem) continue;
      this.resumptions += 1;
      yield* EnvironmentTools.sleep(env, end === "broken" ? CONNECTION_LOST_DELAY_MS : HANDOVER_DELAY_MS);
    }
    if (this.complete) this.recordCompletion();
    else this.recordFailure();
  }

  /** Opens the stream, or resumes it after the last event received. */
  private *send(): Task<Result<HttpResponse>> {
    const { client } = this;
    if (this.requestId === "")
      return yield* client.env.httpRequest(client.pickIngress(), {
        method: "POST",
        path: `/v1/requests/${this.mix.binding}`,
        body: JSON.stringify({ prompt: this.prompt, pieces: this.mix.pieces }),
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
    return yield* client.env.httpRequest(client.pickIngress(), {
      method: "GET",
      path: `/v1/streams/${this.requestId}`,
      headers: { "last-event-id": String(this.lastEventId) },
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
  }
  /**
   * Handles a response that is not a stream. Returns whether to continue: a rejected resumption is retried, a rejected
   * first request is not.
   */
  private *canContinueAfterRejection(response: Result<HttpResponse>): Task<boolean> {
    const { client } = this;
    const body = yield* client.readResponse<ProblemBody>(response, ERROR_BODY_TIMEOUT_MS);
    if (this.requestId === "") {
      client.recordFailure(`stream ${this.mix.binding}`, this.startedAt, body);
      return false;
    }
    if (body && body.status !== 503 && body.status !== 504) this.problem = body.body;
    yield* EnvironmentTools.sleep(client.env, REJECTED_DELAY_MS);
    this.resumptions += 1;
    return true;
  }
  /** Handles an event; returns false if no more events of this response are to be read. */
  private accept({ event, id, data }: ServerSentEvent): boolean {
    switch (event) {
      case "piece":
        this.acceptChunk(id, (data as { piece: string }).piece);
        return true;
      case "end":
        this.complete = true;
        return false;
      case "error": {
        const problem = data as ProblemBody;
        if (problem.code !== "unknown" && problem.code !== "timeout") this.problem = problem;
        return false;
      }
      default:
        return false;
    }
  }
  private acceptChunk(id: number, chunk: string): void {
    const { client, prompt } = this;
    if (this.firstEventMs === 0) this.firstEventMs = client.env.monotonicMs() - this.startedAt;
    const isExpected = id === this.lastEventId + 1 && chunk === StandInEndpoint.chunkAt(prompt, id);
    client.history.add({ tag: "streamPiece", stream: this.n, n: id, right: isExpected });
    this.lastEventId = id;
  }
  private recordCompletion(): void {
    const { env, history } = this.client;
    const at = env.wallClockMs();
    history.add({
      tag: "streamEnd",
      stream: this.n,
      at,
      tookMs: env.monotonicMs() - this.startedAt,
      firstMs: this.firstEventMs,
      pieces: this.lastEventId,
      wanted: this.mix.pieces,
      resumes: this.resumptions,
      binding: this.mix.binding,
    });
    history.add({ tag: "served", at, kind: "stream" });
  }
  private recordFailure(): void {
    const { env, history } = this.client;
    history.add({
      tag: "failed",
      at: env.wallClockMs(),
      tookMs: env.monotonicMs() - this.startedAt,
      kind: `stream ${this.mix.binding}`,
      requestId: this.requestId,
      code: String(this.problem?.code ?? "noEnd"),
      detail: String(this.problem?.detail ?? ""),
    });
  }
}

/** Requests the stream of the n-th call and reads it to its end; resumes it after each interruption. */
export function* callStream(client: CallerClient, mix: StreamMix, n: number): Task<void> {
  yield* new StreamCall(client, n, mix).run();
}
