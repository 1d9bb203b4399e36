import { Constants } from "../common/constants";
import { Task } from "../runtime/csp";
import { Env, EnvTools, HttpResponse } from "../runtime/env";
import { Fault, Result } from "../common/fault";

/** One server-sent event as it came: its id, its data, and its whole text. */
export type StreamEvent = { id: number; data: string; raw: Buffer };
const dataOf = (text: string): string =>
  text
    .split(/\r?\n/)
    .filter((line) => line.startsWith("data:"))
    .map((line) => line.slice(line[5] === " " ? 6 : 5))
    .join("\n");
const idOf = (text: string): number => {
  const match = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/.exec(text);
  return match ? +match[1] : NaN;
};

/**
 * A replica's stream of events, whole ones only, in the order of their ids.
 *
 * @example
 * const pieces = new EventPieces(env, "r1", reply, 0);
 * const got = yield* pieces.next(1000); // ok with undefined: the proper end
 */
export class EventStreamReader {
  private buffer: Buffer = Buffer.alloc(0);
  private receivedBytes = 0;
  constructor(
    private readonly env: Env,
    private readonly endpoint: string,
    private readonly response: HttpResponse,
    public lastId: number,
  ) {}
  /** The events that have come, at least one; undefined at the proper end. @example yield* pieces.next(500) */
  *next(withinMs: number): Task<Result<StreamEvent[] | undefined>> {
    const until = this.env.mono() + withinMs;
    for (;;) {
      const pieces: StreamEvent[] = [];
      for (let end = this.endOfEvent(); end > 0; end = this.endOfEvent()) {
        const raw = this.buffer.subarray(0, end);
        const text = raw.toString("utf8");
        const id = idOf(text);
        // an event without an id that rises by one belongs to no stream of ours; what came before it does
        if (id !== this.lastId + 1 && pieces.length > 0) break;
        if (id !== this.lastId + 1) return this.fail("broken", `event ${id} after ${this.lastId}`);
        this.buffer = this.buffer.subarray(end);
        this.lastId = id;
        pieces.push({ id, data: dataOf(text), raw });
      }
      if (pieces.length > 0) return Fault.ok(pieces);
      const chunk = yield* EnvTools.takeWithin(this.env, this.response.chunks, until - this.env.mono());
      if (chunk === undefined) return this.fail("timeout", "replica fell silent");
      if (chunk === null) {
        if (this.response.broken()) return this.fail("broken", "reply ended early");
        return this.buffer.length > 0 ? this.fail("broken", "reply ended inside an event") : Fault.ok(undefined);
      }
      this.receivedBytes += chunk.length;
      if (this.receivedBytes > Constants.responseLimitBytes) return this.fail("invalid", "reply over the limit");
      this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    }
  }
  private endOfEvent(): number {
    const plain = this.buffer.indexOf("\n\n");
    const carriage = this.buffer.indexOf("\r\n\r\n");
    if (carriage >= 0 && (plain < 0 || carriage < plain)) return carriage + 4;
    return plain >= 0 ? plain + 2 : -1;
  }
  private fail(tag: "invalid" | "timeout" | "broken", detail: string): Result<undefined> {
    this.response.abort();
    return Fault.fail(tag, "read stream", this.endpoint, detail);
  }
}
