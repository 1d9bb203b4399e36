import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../../runtime/env";

const EVENT_END = "\n\n";

/** One server-sent event (HTML standard) with a numeric id and JSON data. */
export interface ServerSentEvent {
  event: string;
  id: number;
  data: unknown;
}
/** Why reading a stream stopped: the reader ended it, the connection closed, or the time-out expired. */
export type StreamEnd = "ended" | "broken" | "slow";

function parseEvent(text: string): ServerSentEvent {
  const event: ServerSentEvent = { event: "", id: 0, data: undefined };
  for (const line of text.split("\n")) {
    const [name, ...rest] = line.split(": ");
    const value = rest.join(": ");
    if (name === "event") event.event = value;
    else if (name === "id") event.id = Number(value);
    else if (name === "data") event.data = JSON.parse(value);
  }
  return event;
}

/**
 * Passes the events of a response to `read` until that returns false, the connection closes, or the time-out expires.
 *
 * @param timeoutMs time-out for all events together, in ms
 * @example
 * const end = yield* readEvents(env, response, 30_000, (event) => event.event !== "end");
 */
export function* readEvents(
  env: Environment,
  response: HttpResponse,
  timeoutMs: number,
  read: (event: ServerSentEvent) => boolean,
): Task<StreamEnd> {
  let buffered = "";
  const deadline = env.monotonicMs() + timeoutMs;
  for (;;) {
    const chunk = yield* EnvironmentTools.takeWithin(env, response.chunks, deadline - env.monotonicMs());
    if (chunk === undefined) {
      response.abort();
      return "slow";
    }
    if (chunk === null) return "broken";
    buffered += chunk.toString("utf8");
    for (let end = buffered.indexOf(EVENT_END); end >= 0; end = buffered.indexOf(EVENT_END)) {
      const event = parseEvent(buffered.slice(0, end));
      buffered = buffered.slice(end + EVENT_END.length);
      if (read(event)) continue;
      response.abort();
      return "ended";
    }
  }
}
