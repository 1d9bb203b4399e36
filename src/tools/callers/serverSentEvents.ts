import { Task } from "../../runtime/csp";
import { Environment, EnvironmentTools, HttpResponse } from "../../runtime/env";

const EVENT_END = "\n\n";

/** One event of a stream: its name, its number and its JSON data (HTML standard, server-sent events). */
export interface ServerSentEvent {
  event: string;
  id: number;
  data: unknown;
}
/** How the reading of a stream came to its end: by its reader, by the connection, or by the time. */
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
 * Reads the events of a response until the reader returns false, the connection ends, or the time is over.
 *
 * @param timeoutMs time for the whole of it, in milliseconds
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
  const until = env.monotonicMs() + timeoutMs;
  for (;;) {
    const chunk = yield* EnvironmentTools.takeWithin(env, response.chunks, until - env.monotonicMs());
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
