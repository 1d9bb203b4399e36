import { Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import { HeaderNames, defaultHeaderNames } from "../forwarding/headerNames";

export type EndpointRun = {
  id: string;
  at: number;
  after: number;
  target: string;
  host: string;
  body: string;
  events: number;
  isComplete: boolean;
};
/** What an endpoint does with a request: all events, a cut after some, an error, no execution, or silence. */
export type RequestBehavior =
  | { tag: "complete" }
  | { tag: "cut"; after: number }
  | { tag: "status"; status: number }
  | { tag: "notRun" }
  | { tag: "silent" };

/** The n-th event of a request; whoever checks a result knows it too. */
const eventOf = (id: string, n: number): string => `${id} says ${n}`;

/**
 * A stand-in endpoint that responds to requests with a stream of events, whose ids rise by one; it resumes after the
 * event that the request names. It records what it ran.
 *
 * @example
 * const replica = new EventStandIn(env, "127.0.0.1:9000", "i1", { events: 5, eventMs: 20, slots: 8 });
 * yield* replica.start();
 */
export class StandInEventEndpoint {
  readonly runs: EndpointRun[] = [];
  behavior: (id: string, attempt: number) => RequestBehavior = () => ({ tag: "complete" });
  active = 0;
  mostActive = 0;
  private attempts = new Map<string, number>();
  constructor(
    private readonly env: Environment,
    readonly address: string,
    readonly instance: string,
    private readonly size: { events: number; eventMs: number; slots: number },
    private readonly names: HeaderNames = defaultHeaderNames,
  ) {}
  static eventOf = eventOf;
  /** The whole text of a request. @example EventStandIn.textOf("i1", 3) */
  static textOf = (id: string, events: number): string =>
    Array.from({ length: events }, (_each, at) => eventOf(id, at + 1)).join("\n");
  /** @example yield* replica.start(); */
  *start(): Task<boolean> {
    return (yield* this.env.serveHttp(this.address, (incoming) => this.serve(incoming))).ok;
  }
  private *serve(incoming: HttpExchange): Task<void> {
    const { names } = this;
    const id = incoming.headers[names.requestId] ?? "";
    const read = yield* incoming.body(4_000_000);
    if (!read.ok) return;
    const responseHeaders = {
      [names.requestId]: id,
      ...(names.endpointSignature ? { [names.endpointSignature]: `mark-${this.instance}` } : {}),
    };
    const attempt = (this.attempts.get(id) ?? 0) + 1;
    this.attempts.set(id, attempt);
    const behavior = this.behavior(id, attempt);
    if (incoming.headers[names.targetInstance] !== this.instance)
      return incoming.send(421, { ...responseHeaders, [names.notExecuted]: "1" }, "");
    if (behavior.tag === "notRun" || this.active >= this.size.slots)
      return incoming.send(503, { ...responseHeaders, [names.notExecuted]: "1" }, "");
    const after = +(incoming.headers[names.lastEventId] ?? 0);
    const run: EndpointRun = {
      id,
      at: this.env.wallClockMs(),
      after,
      target: incoming.target,
      host: incoming.headers.host ?? "",
      body: read.value.toString("utf8"),
      events: 0,
      isComplete: false,
    };
    this.runs.push(run);
    this.active += 1;
    this.mostActive = Math.max(this.mostActive, this.active);
    try {
      if (behavior.tag === "silent") return void (yield* Csp.take(incoming.disconnected));
      if (behavior.tag === "status") return incoming.send(behavior.status, responseHeaders, "sorry");
      incoming.startStream(200, { ...responseHeaders, "content-type": "text/event-stream" });
      for (let n = after + 1; n <= this.size.events; n += 1) {
        yield* EnvironmentTools.sleep(this.env, this.size.eventMs);
        if (incoming.disconnected.isClosed()) return;
        if (behavior.tag === "cut" && n > behavior.after) return incoming.abort();
        run.events += 1;
        incoming.write(`id: ${n}\ndata: ${eventOf(id, n)}\n\n`);
      }
      run.isComplete = true;
      incoming.end();
    } finally {
      this.active -= 1;
    }
  }
}
