import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools, HttpResponse } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Endpoint } from "../node/clusterSnapshot";
import { Http } from "../adapters/http";

export type ForwardedRequest = {
  path: string;
  id: string;
  attempt: number;
  body: string;
  receivedChunks: string[];
  deadlineMs: number;
  idempotent: boolean;
};

/** One opened stream of a replica: pieces one by one. */
export class EndpointStream {
  private buffer = "";
  private receivedBytes = 0;
  constructor(
    private readonly env: Env,
    private readonly endpoint: Endpoint,
    private readonly response: HttpResponse,
  ) {}
  /** Next pieces, or undefined at the proper end. @example const pieces = yield* stream.next(3000); */
  *next(withinMs: number): Task<Result<string[] | undefined>> {
    const until = this.env.mono() + withinMs;
    const pieces: string[] = [];
    for (;;) {
      for (let at = this.buffer.indexOf("\n"); at >= 0; at = this.buffer.indexOf("\n")) {
        const line = this.buffer.slice(0, at);
        this.buffer = this.buffer.slice(at + 1);
        if (line.trim() === "") continue;
        let told: { piece?: unknown; end?: unknown };
        try {
          told = JSON.parse(line);
        } catch {
          return this.fail("invalid", "reply is not JSON lines");
        }
        if (told && typeof told.piece === "string") pieces.push(told.piece);
        else if (told && told.end === true) {
          if (pieces.length === 0) return Fault.ok(undefined);
          this.buffer = line + "\n" + this.buffer; // the end is told after its pieces
          return Fault.ok(pieces);
        } else return this.fail("invalid", "line is neither piece nor end");
      }
      if (pieces.length > 0) return Fault.ok(pieces);
      const chunk = yield* EnvTools.takeWithin(this.env, this.response.chunks, until - this.env.mono());
      if (chunk === undefined) return this.fail("timeout", "replica fell silent");
      if (chunk === null) return this.fail("broken", "replica ended without saying so");
      this.receivedBytes += chunk.length;
      if (this.receivedBytes > Constants.responseLimitBytes) return this.fail("invalid", "reply over the limit");
      this.buffer += chunk.toString("utf8");
    }
  }
  /** @example stream.abort(); */
  abort(): void {
    this.response.abort();
  }
  private fail(tag: "invalid" | "timeout" | "broken", detail: string): Result<undefined> {
    this.response.abort();
    return Fault.fail(tag, "read replica", this.endpoint.id, detail);
  }
}

const head = (delivery: ForwardedRequest): Record<string, string> => ({
  "x-request-id": delivery.id,
  "x-round": String(delivery.attempt),
  "x-deadline-ms": String(Math.max(1, Math.round(delivery.deadlineMs))),
});
/** Only a replica's plain word counts as "not accepted"; any other refusal may have run. */
const notAccepted = (response: HttpResponse): boolean =>
  (response.status === 429 || response.status === 503) && response.headers["x-accepted"] === "no";

/**
 * How replicas are spoken to: JSON in; for a stream JSON lines of pieces and an end, else one JSON body.
 *
 * @example
 * const opened = yield* ReplicaHttp.stream(env, replica, delivery);
 * const looked = yield* ReplicaHttp.single(env, replica, delivery);
 */
export const EndpointHttp = {
  *stream(env: Env, endpoint: Endpoint, delivery: ForwardedRequest): Task<Result<EndpointStream>> {
    const body =
      delivery.receivedChunks.length > 0
        ? JSON.stringify({ ...JSON.parse(delivery.body), continueFrom: delivery.receivedChunks })
        : delivery.body;
    const response = yield* env.http(endpoint.address, {
      method: "POST",
      path: delivery.path,
      headers: { ...head(delivery), accept: "application/x-ndjson" },
      body,
      timeoutMs: Math.min(delivery.deadlineMs, Constants.firstPieceMs),
      fresh: !delivery.idempotent,
    });
    if (!response.ok) return response;
    if (response.value.status === 200) return Fault.ok(new EndpointStream(env, endpoint, response.value));
    const refused = notAccepted(response.value);
    response.value.abort();
    return Fault.fail(
      refused ? "refused" : "broken",
      "deliver",
      endpoint.id,
      `replica replied ${response.value.status}`,
    );
  },
  *single(env: Env, endpoint: Endpoint, delivery: ForwardedRequest): Task<Result<{ status: number; body: string }>> {
    const response = yield* env.http(endpoint.address, {
      method: "POST",
      path: delivery.path,
      headers: head(delivery),
      body: delivery.body,
      timeoutMs: delivery.deadlineMs,
      fresh: !delivery.idempotent,
    });
    if (!response.ok) return response;
    const reply = response.value;
    if (notAccepted(reply)) {
      reply.abort();
      return Fault.fail("refused", "deliver", endpoint.id, "not accepted");
    }
    const body = yield* EnvTools.bodyOf(env, reply, Constants.responseLimitBytes, delivery.deadlineMs);
    if (body === undefined)
      return Fault.fail("broken", "read replica", endpoint.id, "reply broken, too long or too slow");
    if (reply.status >= 500 || Http.promisesNotRun(reply.status))
      return Fault.fail("broken", "deliver", endpoint.id, `replica replied ${reply.status}`);
    try {
      JSON.parse(body);
    } catch {
      return Fault.fail("invalid", "read replica", endpoint.id, "reply is not JSON");
    }
    return Fault.ok({ status: reply.status, body });
  },
};
