import { Fault, Result } from "../common/fault";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { Environment, HttpResponse } from "../runtime/env";
import { EndpointBody } from "./endpointBody";

/** One line of a stream: a chunk, or the end of the stream. */
type StreamLine = { chunk: string } | { isEnd: true };

/** Parses a line; returns undefined if it is not JSON, and null if it is JSON of another form. */
function parseLine(line: string): StreamLine | null | undefined {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return undefined;
  }
  const { piece, end } = (value ?? {}) as { piece?: unknown; end?: unknown };
  if (typeof piece === "string") return { chunk: piece };
  return end === true ? { isEnd: true } : null;
}

/**
 * Reads the response stream of an endpoint, which consists of JSON lines: `{"piece": TEXT}` for each chunk, and
 * `{"end": true}` as the last line.
 */
export class EndpointStream {
  private buffer = "";
  private hasEnded = false;
  private readonly body: EndpointBody;
  constructor(
    private readonly env: Environment,
    endpoint: Endpoint,
    private readonly response: HttpResponse,
  ) {
    this.body = new EndpointBody(env, endpoint.id, response, "read replica");
  }

  /**
   * Returns the chunks that have arrived, at least one, or undefined at the end. Each fault aborts the response: "timeout"
   * if no chunk arrives in time, "broken" if the stream was truncated, "invalid" if it is malformed or too long.
   */
  *next(withinMs: number): Task<Result<string[] | undefined>> {
    const deadline = this.env.monotonicMs() + withinMs;
    for (;;) {
      const chunks = this.readLines();
      if (!chunks.ok) return chunks;
      if (chunks.value.length > 0) return chunks;
      if (this.hasEnded) return Fault.ok(undefined);
      const received = yield* this.receiveData(deadline - this.env.monotonicMs());
      if (!received.ok) return received;
    }
  }

  /** Aborts the response without reading the rest of the stream. */
  abort(): void {
    this.response.abort();
  }

  /** Parses all complete lines in the buffer, up to the end of the stream, and returns their chunks. */
  private readLines(): Result<string[]> {
    const chunks: string[] = [];
    while (!this.hasEnded) {
      const lineEnd = this.buffer.indexOf("\n");
      if (lineEnd < 0) break;
      const line = this.buffer.slice(0, lineEnd);
      this.buffer = this.buffer.slice(lineEnd + 1);
      if (line.trim() === "") continue;
      const parsed = parseLine(line);
      if (parsed === undefined) return this.body.fail("invalid", "reply is not JSON lines");
      if (parsed === null) return this.body.fail("invalid", "line is neither piece nor end");
      if ("isEnd" in parsed) this.hasEnded = true;
      else chunks.push(parsed.chunk);
    }
    return Fault.ok(chunks);
  }

  private *receiveData(withinMs: number): Task<Result<true>> {
    const received = yield* this.body.next(withinMs);
    if (!received.ok) return received;
    if (received.value === undefined) return this.body.truncated("replica ended without saying so");
    this.buffer += received.value.toString("utf8");
    return Fault.ok(true);
  }
}
