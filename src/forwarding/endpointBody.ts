import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { BodyEnd, Environment, EnvironmentTools, HttpResponse } from "../runtime/env";
import { CutCause, CutResponses } from "./cutResponses";

const cutDetails: Readonly<Record<Exclude<BodyEnd, "complete">, string>> = {
  reset: "reply was reset",
  truncated: "reply ended early",
  aborted: "reply was aborted",
};

/**
 * Reads the body of an endpoint's response, and reports a body that is cut off. Every reader of a response reads it with this
 * class, so that all agree on which responses are complete.
 *
 * @example
 * const body = yield* new EndpointBody(env, endpoint.id, response, "read reply").readAll(500);
 */
export class EndpointBody {
  private receivedBytes = 0;
  /** @param step the step that faults name */
  constructor(
    private readonly env: Environment,
    private readonly endpointId: string,
    private readonly response: HttpResponse,
    private readonly step: string,
  ) {}

  /**
   * Returns the next chunk, or undefined after the last one of a complete body. Each fault aborts the response: "timeout" if
   * nothing arrives in time, "broken" if the body was cut off, "invalid" if it is too long.
   */
  *next(withinMs: number): Task<Result<Buffer | undefined>> {
    const chunk = yield* EnvironmentTools.takeWithin(this.env, this.response.chunks, withinMs);
    if (chunk === undefined) return this.cut("timeout", "replica fell silent");
    if (chunk === null) return this.atEnd();
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > Constants.responseLimitBytes) return this.fail("invalid", "reply over the limit");
    return Fault.ok(chunk);
  }

  /** Reads the whole body within a time limit; faults as of `next`. */
  *readAll(withinMs: number): Task<Result<Buffer>> {
    const chunks: Buffer[] = [];
    const deadline = this.env.monotonicMs() + withinMs;
    for (;;) {
      const chunk = yield* this.next(deadline - this.env.monotonicMs());
      if (!chunk.ok) return chunk;
      if (chunk.value === undefined) return Fault.ok(Buffer.concat(chunks));
      chunks.push(chunk.value);
    }
  }

  /** Reports a body as truncated whose content is incomplete although its framing is not, and aborts the response. */
  truncated(detail: string): Result<never> {
    return this.cut("truncated", detail);
  }

  /** Aborts the response because of its content. */
  fail(tag: "invalid" | "timeout" | "broken", detail: string): Result<never> {
    this.response.abort();
    return Fault.fail(tag, this.step, this.endpointId, detail);
  }

  private atEnd(): Result<undefined> {
    const end = this.response.bodyEnd();
    if (end === "complete") return Fault.ok(undefined);
    if (end !== "aborted") this.report(end);
    return this.fail("broken", cutDetails[end]);
  }

  private cut(cause: "timeout" | "truncated", detail: string): Result<never> {
    this.report(cause);
    return this.fail(cause === "timeout" ? "timeout" : "broken", detail);
  }

  private report(cause: CutCause): void {
    const { endpointId, receivedBytes, response } = this;
    CutResponses.of(this.env).record({ endpointId, framing: response.framing, cause, receivedBytes });
  }
}
