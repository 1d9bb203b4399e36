import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../runtime/env";

/** One server-sent event. */
export interface StreamEvent {
  id: number;
  /** The lines of its data fields, joined. */
  data: string;
  /** Its bytes as received, with the blank line at the end. */
  raw: Buffer;
}

const dataPrefix = "data:";
const idLine = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/;

/** The data of an event; one space after the colon is not part of it. */
const dataOf = (text: string): string =>
  text
    .split(/\r?\n/)
    .filter((line) => line.startsWith(dataPrefix))
    .map((line) => line.slice(line[dataPrefix.length] === " " ? dataPrefix.length + 1 : dataPrefix.length))
    .join("\n");

/** The id of an event; NaN without one. */
function idOf(text: string): number {
  const match = idLine.exec(text);
  return match ? +match[1] : NaN;
}

/** Where the first event in the buffer ends, after its blank line; -1 if it is not complete. */
function endOfFirstEvent(buffer: Buffer): number {
  const lineFeeds = buffer.indexOf("\n\n");
  const carriageReturns = buffer.indexOf("\r\n\r\n");
  const endsWithCarriageReturns = carriageReturns >= 0 && (lineFeeds < 0 || carriageReturns < lineFeeds);
  if (endsWithCarriageReturns) return carriageReturns + "\r\n\r\n".length;
  return lineFeeds >= 0 ? lineFeeds + "\n\n".length : -1;
}

/**
 * Reads a stream of server-sent events (WHATWG HTML, section 9.2) whose ids rise by one from event to event.
 *
 * @example
 * const reader = new EventStreamReader(env, "r1", response, 0);
 * const events = yield* reader.next(1000); // ok with undefined at the end of the stream
 */
export class EventStreamReader {
  private buffer: Buffer = Buffer.alloc(0);
  private receivedBytes = 0;
  /** Reads the response of an endpoint; `lastId` is the id before the first event that is expected. */
  constructor(
    private readonly env: Environment,
    private readonly endpointId: string,
    private readonly response: HttpResponse,
    public lastId: number,
  ) {}

  /**
   * The events that have arrived, at least one; undefined at the end. Faults, after which the response is aborted: "timeout"
   * without an event in time, "broken" if the stream was cut off or an id was skipped, "invalid" if it is too long.
   */
  *next(withinMs: number): Task<Result<StreamEvent[] | undefined>> {
    const until = this.env.mono() + withinMs;
    for (;;) {
      const events = this.readEvents();
      if (!events.ok || events.value.length > 0) return events;
      const chunk = yield* EnvironmentTools.takeWithin(this.env, this.response.chunks, until - this.env.mono());
      if (chunk === undefined) return this.fail("timeout", "replica fell silent");
      if (chunk === null) return this.endOfResponse();
      this.receivedBytes += chunk.length;
      if (this.receivedBytes > Constants.responseLimitBytes) return this.fail("invalid", "reply over the limit");
      this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    }
  }

  /** All complete events in the buffer whose ids follow one another; a fault if the first does not follow. */
  private readEvents(): Result<StreamEvent[]> {
    const events: StreamEvent[] = [];
    for (let end = endOfFirstEvent(this.buffer); end > 0; end = endOfFirstEvent(this.buffer)) {
      const raw = this.buffer.subarray(0, end);
      const text = raw.toString("utf8");
      const id = idOf(text);
      if (id !== this.lastId + 1) {
        // the events before it are good: the fault is given at the next call
        if (events.length > 0) break;
        return this.fail("broken", `event ${id} after ${this.lastId}`);
      }
      this.buffer = this.buffer.subarray(end);
      this.lastId = id;
      events.push({ id, data: dataOf(text), raw });
    }
    return Fault.ok(events);
  }

  private endOfResponse(): Result<undefined> {
    if (this.response.broken()) return this.fail("broken", "reply ended early");
    if (this.buffer.length > 0) return this.fail("broken", "reply ended inside an event");
    return Fault.ok(undefined);
  }

  private fail(tag: "invalid" | "timeout" | "broken", detail: string): Result<never> {
    this.response.abort();
    return Fault.fail(tag, "read stream", this.endpointId, detail);
  }
}
