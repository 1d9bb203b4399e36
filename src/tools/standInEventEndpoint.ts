import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange, StreamFraming } from "../runtime/env";
import { HeaderNames, defaultHeaderNames } from "../forwarding/headerNames";

/** A run of a request at the endpoint. */
export type EndpointRun = {
  id: string;
  /** Wall-clock time of the start, ms. */
  at: number;
  /** Id of the event after which the run resumes; 0 for a run from the start. */
  after: number;
  target: string;
  host: string;
  body: string;
  /** Number of events sent. */
  events: number;
  isComplete: boolean;
};
/** The form of a response; a chunked event stream unless it says otherwise. */
interface ResponseForm {
  framing?: StreamFraming;
  contentType?: string;
}
/** How the endpoint handles a request. */
export type RequestBehavior =
  /** It sends all events. */
  | ({ tag: "complete" } & ResponseForm)
  /** It aborts the connection after the event with this id. */
  | ({ tag: "cut"; after: number } & ResponseForm)
  /** It runs the request and responds with an error status. */
  | { tag: "status"; status: number }
  /** It rejects the request without running it. */
  | { tag: "notRun" }
  /** It never responds. */
  | { tag: "silent" };

/** Returns the data of the n-th event of a request, counted from 1. */
const eventOf = (id: string, n: number): string => `${id} says ${n}`;
const eventTextOf = (id: string, n: number): string => `id: ${n}\ndata: ${eventOf(id, n)}\n\n`;

/**
 * A stand-in endpoint that responds to each request with a stream of server-sent events whose ids count up from 1. It
 * resumes after the event that the request names as the last one received, and records its runs.
 *
 * @example
 * const endpoint = new StandInEventEndpoint(env, "127.0.0.1:9000", "i1", { events: 5, eventMs: 20, slots: 8 });
 * yield* endpoint.start();
 */
export class StandInEventEndpoint {
  readonly runs: EndpointRun[] = [];
  /** Chooses the behavior for an attempt, counted from 1, to run a request. */
  behavior: (id: string, attempt: number) => RequestBehavior = () => ({ tag: "complete" });
  /** Number of requests in progress. */
  active = 0;
  /** Highest value of `active` so far. */
  peakActive = 0;
  private attemptsById = new Map<string, number>();
  constructor(
    private readonly env: Environment,
    readonly address: string,
    readonly instance: string,
    /** Events per request, time between events in ms, and the number of requests that may run at a time. */
    private readonly options: { events: number; eventMs: number; slots: number },
    private readonly headerNames: HeaderNames = defaultHeaderNames,
  ) {}
  static eventOf = eventOf;
  /** Returns the data of all events of a request, joined by line feeds. */
  static textOf = (id: string, events: number): string =>
    Array.from({ length: events }, (_item, index) => eventOf(id, index + 1)).join("\n");
  /** Returns the body of a complete response to a request. */
  static bodyOf = (id: string, events: number): string =>
    Array.from({ length: events }, (_item, index) => eventTextOf(id, index + 1)).join("");
  /** Starts to serve requests; returns false if the address is in use. */
  *start(): Task<boolean> {
    return (yield* this.env.serveHttp(this.address, (exchange) => this.serve(exchange))).ok;
  }
  private *serve(exchange: HttpExchange): Task<void> {
    const { headerNames: names } = this;
    const id = exchange.headers[names.requestId] ?? "";
    const received = yield* exchange.body(4_000_000);
    if (!received.ok) return;
    const responseHeaders = {
      [names.requestId]: id,
      ...(names.endpointSignature ? { [names.endpointSignature]: `mark-${this.instance}` } : {}),
    };
    const attempt = (this.attemptsById.get(id) ?? 0) + 1;
    this.attemptsById.set(id, attempt);
    const behavior = this.behavior(id, attempt);
    if (exchange.headers[names.targetInstance] !== this.instance)
      return exchange.send(421, { ...responseHeaders, [names.notExecuted]: "1" }, "");
    if (behavior.tag === "notRun" || this.active >= this.options.slots)
      return exchange.send(503, { ...responseHeaders, [names.notExecuted]: "1" }, "");
    const after = +(exchange.headers[names.lastEventId] ?? 0);
    const run: EndpointRun = {
      id,
      at: this.env.wallClockMs(),
      after,
      target: exchange.target,
      host: exchange.headers.host ?? "",
      body: received.value.toString("utf8"),
      events: 0,
      isComplete: false,
    };
    this.runs.push(run);
    this.active += 1;
    this.peakActive = Math.max(this.peakActive, this.active);
    try {
      if (behavior.tag === "silent") return void (yield* Csp.take(exchange.disconnected));
      if (behavior.tag === "status") return exchange.send(behavior.status, responseHeaders, "sorry");
      const { framing, contentType = "text/event-stream" } = behavior;
      exchange.startStream(200, { ...responseHeaders, "content-type": contentType }, framing);
      for (let n = after + 1; n <= this.options.events; n += 1) {
        yield* EnvironmentTools.sleep(this.env, this.options.eventMs);
        if (exchange.disconnected.isClosed()) return;
        if (behavior.tag === "cut" && n > behavior.after) return exchange.abort();
        run.events += 1;
        exchange.write(eventTextOf(id, n));
      }
      run.isComplete = true;
      exchange.end();
    } finally {
      this.active -= 1;
    }
  }
}
