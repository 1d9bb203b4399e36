import { Task } from "../../runtime/csp";
import { EnvironmentTools, HttpResponse } from "../../runtime/env";
import { Result } from "../../common/fault";
import { Mix } from "../deployment";
import { StandInEndpoint } from "../standInEndpoint";
import { CallerClient, ProblemBody } from "./callerClient";
import { readEvents, ServerSentEvent } from "./serverSentEvents";

const STREAM_TIMEOUT_MS = 45_000; // ms; for a stream with all its resumptions
const REQUEST_TIMEOUT_MS = 20_000; // ms; until a response begins
const EVENTS_TIMEOUT_MS = 30_000; // ms; for the events of one response
const ERROR_BODY_TIMEOUT_MS = 2000;
const REJECTED_PAUSE_MS = 300; // ms; before a rejected resumption is sent again
const BROKEN_PAUSE_MS = 100; // ms; before a stream whose connection broke is resumed
const MOVED_PAUSE_MS = 20; // ms; before a stream that its node handed over is resumed

/** A kind of stream in the mix. */
type StreamKind = Mix["streams"][number];

/** One stream of a stand-in caller: read event by event, checked, and resumed at another ingress after a break. */
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
    private readonly kind: StreamKind,
  ) {
    this.startedAt = client.env.monotonicMs();
    const prefixNumber = Math.floor(client.env.random() * kind.prefixes);
    const prefix = `system prompt ${prefixNumber} of ${kind.binding} `.padEnd(kind.prefixBytes, "kiln ");
    this.prompt = `${prefix} question ${client.salt}-${n}`;
  }

  /** To its end, or until it is given up; either is recorded in the history. */
  *run(): Task<void> {
    const { env } = this.client;
    const until = env.monotonicMs() + STREAM_TIMEOUT_MS;
    while (!this.complete && !this.problem && env.monotonicMs() < until) {
      const response = yield* this.send();
      if (!response.ok || response.value.status !== 200) {
        if (!(yield* this.rejected(response))) return;
        continue;
      }
      this.requestId = response.value.headers["x-request-id"];
      const end = yield* readEvents(env, response.value, EVENTS_TIMEOUT_MS, (event) => this.accept(event));
      if (this.complete || this.problem) continue;
      this.resumptions += 1;
      yield* EnvironmentTools.sleep(env, end === "broken" ? BROKEN_PAUSE_MS : MOVED_PAUSE_MS);
    }
    if (this.complete) this.recordEnd();
    else this.recordProblem();
  }

  /** Opens the stream, or resumes it behind the last event that came. */
  private *send(): Task<Result<HttpResponse>> {
    const { client } = this;
    if (this.requestId === "")
      return yield* client.env.httpRequest(client.pickIngress(), {
        method: "POST",
        path: `/v1/requests/${this.kind.binding}`,
        body: JSON.stringify({ prompt: this.prompt, pieces: this.kind.pieces }),
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
    return yield* client.env.httpRequest(client.pickIngress(), {
      method: "GET",
      path: `/v1/streams/${this.requestId}`,
      headers: { "last-event-id": String(this.lastEventId) },
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
  }
  /** Whether to go on after a response that is no stream: a rejected resumption is sent again, a rejected request is not. */
  private *rejected(response: Result<HttpResponse>): Task<boolean> {
    const { client } = this;
    const body = yield* client.readResponse<ProblemBody>(response, ERROR_BODY_TIMEOUT_MS);
    if (this.requestId === "") {
      client.recordFailure(`stream ${this.kind.binding}`, this.startedAt, body);
      return false;
    }
    if (body && body.status !== 503 && body.status !== 504) this.problem = body.body;
    yield* EnvironmentTools.sleep(client.env, REJECTED_PAUSE_MS);
    this.resumptions += 1;
    return true;
  }
  /** Takes an event; false where the response has nothing more for us. */
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
    const right = id === this.lastEventId + 1 && chunk === StandInEndpoint.chunkAt(prompt, id);
    client.history.add({ tag: "streamPiece", stream: this.n, n: id, right });
    this.lastEventId = id;
  }
  private recordEnd(): void {
    const { env, history } = this.client;
    const at = env.wallClockMs();
    history.add({
      tag: "streamEnd",
      stream: this.n,
      at,
      tookMs: env.monotonicMs() - this.startedAt,
      firstMs: this.firstEventMs,
      pieces: this.lastEventId,
      wanted: this.kind.pieces,
      resumes: this.resumptions,
      binding: this.kind.binding,
    });
    history.add({ tag: "served", at, kind: "stream" });
  }
  private recordProblem(): void {
    const { env, history } = this.client;
    history.add({
      tag: "failed",
      at: env.wallClockMs(),
      tookMs: env.monotonicMs() - this.startedAt,
      kind: `stream ${this.kind.binding}`,
      requestId: this.requestId,
      code: String(this.problem?.code ?? "noEnd"),
      detail: String(this.problem?.detail ?? ""),
    });
  }
}

/** One stream, resumed elsewhere as long as it breaks off. @example yield* callStream(client, mix.streams[0], 17) */
export function* callStream(client: CallerClient, kind: StreamKind, n: number): Task<void> {
  yield* new StreamCall(client, n, kind).run();
}
