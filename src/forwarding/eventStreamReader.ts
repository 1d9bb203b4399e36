import { Fault, Result } from "../common/fault";
import { Task } from "../runtime/csp";
import { Environment, HttpResponse } from "../runtime/env";
import { EndpointBody } from "./endpointBody";

/** One server-sent event. */
export interface StreamEvent {
  id: number;
  /** The values of the event's data fields, joined with line feeds. */
  data: string;
  /** The event's bytes as received, with the blank line at the end. */
  raw: Buffer;
}

const DATA_PREFIX = "data:";
const idLine = /(?:^|\n)id: ?(\d+)\r?(?:\n|$)/;

/** Returns the data of an event; a single space after the colon is not part of it. */
const dataOf = (text: string): string =>
  text
    .split(/\r?\n/)
    .filter((line) => line.startsWith(DATA_PREFIX))
    .map((line) => line.slice(line[DATA_PREFIX.length] === " " ? DATA_PREFIX.length + 1 : DATA_PREFIX.length))
    .join("\n");

/** Returns the id of an event; NaN if it has none. */
function idOf(text: string): number {
  const match = idLine.exec(text);
  return match ? +match[1] : NaN;
}

/** Returns the offset after the blank line that ends the first event in the buffer; -1 if the event is incomplete. */
function endOfFirstEvent(buffer: Buffer): number {
  const lfIndex = buffer.indexOf("\n\n");
  const crlfIndex = buffer.indexOf("\r\n\r\n");
  const endsWithCrlf = crlfIndex >= 0 && (lfIndex < 0 || crlfIndex < lfIndex);
  if (endsWithCrlf) return crlfIndex + "\r\n\r\n".length;
  return lfIndex >= 0 ? lfIndex + "\n\n".length : -1;
}

/** Reads a stream of server-sent events (WHATWG HTML, section 9.2) whose ids increase by one from event to event. */
export class EventStreamReader {
  private buffer: Buffer = Buffer.alloc(0);
  private readonly body: EndpointBody;
  /** `lastId` is the id that precedes the first expected event. */
  constructor(
    private readonly env: Environment,
    endpointId: string,
    response: HttpResponse,
    public lastId: number,
  ) {
    this.body = new EndpointBody(env, endpointId, response, "read stream");
  }

  /**
   * Returns the events that have arrived, at least one, or undefined at the end. Each fault aborts the response: "timeout" if
   * no event arrives in time, "broken" if the stream was truncated or an id is out of sequence, "invalid" if it is too long.
   */
  *next(withinMs: number): Task<Result<StreamEvent[] | undefined>> {
    const deadline = this.env.monotonicMs() + withinMs;
    for (;;) {
      const events = this.readEvents();
      if (!events.ok || events.value.length > 0) return events;
      const received = yield* this.body.next(deadline - this.env.monotonicMs());
      if (!received.ok) return received;
      const chunk = received.value;
      if (chunk === undefined) return this.checkEnd();
      this.buffer = this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    }
  }

  /** Returns all complete events in the buffer with consecutive ids; a fault if the first id is out of sequence. */
  private readEvents(): Result<StreamEvent[]> {
    const events: StreamEvent[] = [];
    for (let end = endOfFirstEvent(this.buffer); end > 0; end = endOfFirstEvent(this.buffer)) {
      const raw = this.buffer.subarray(0, end);
      const text = raw.toString("utf8");
      const id = idOf(text);
      if (id !== this.lastId + 1) {
        // The events before it are valid; the next call returns the fault.
        if (events.length > 0) break;
        return this.body.fail("broken", `event ${id} after ${this.lastId}`);
      }
      this.buffer = this.buffer.subarray(end);
      this.lastId = id;
      events.push({ id, data: dataOf(text), raw });
    }
    return Fault.ok(events);
  }

  private checkEnd(): Result<undefined> {
    return this.buffer.length > 0 ? this.body.truncated("reply ended inside an event") : Fault.ok(undefined);
  }
}
