import { Csp, Task } from "../runtime/csp";
import { Env, EnvTools, HttpExchange } from "../runtime/env";
import { HeaderNames, ownHeaderNames } from "../forwarding/headerNames";

export type EventRun = {
  id: string;
  at: number;
  after: number;
  target: string;
  host: string;
  body: string;
  events: number;
  whole: boolean;
};
/** What happens to a request: whole events, a cut after some, a failure, or it is not run at all. */
export type Mood =
  | { tag: "well" }
  | { tag: "cut"; after: number }
  | { tag: "status"; status: number }
  | { tag: "notRun" }
  | { tag: "dark" };

/** The n-th event of a request; whoever checks a result knows it too. */
const eventOf = (id: string, n: number): string => `${id} says ${n}`;

/**
 * A stand-in replica that takes requests as they are and replies with a stream of events, whose ids rise by one; it goes
 * on after the event it is told. It keeps what ran.
 *
 * @example
 * const replica = new EventStandIn(env, "127.0.0.1:9000", "i1", { events: 5, eventMs: 20, slots: 8 });
 * yield* replica.start();
 */
export class EventStandIn {
  readonly runs: EventRun[] = [];
  mood: (id: string, turn: number) => Mood = () => ({ tag: "well" });
  active = 0;
  most = 0;
  private turns = new Map<string, number>();
  constructor(
    private readonly env: Env,
    readonly address: string,
    readonly instance: string,
    private readonly size: { events: number; eventMs: number; slots: number },
    private readonly names: HeaderNames = ownHeaderNames,
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
    const told = {
      [names.requestId]: id,
      ...(names.endpointSignature ? { [names.endpointSignature]: `mark-${this.instance}` } : {}),
    };
    const turn = (this.turns.get(id) ?? 0) + 1;
    this.turns.set(id, turn);
    const mood = this.mood(id, turn);
    if (incoming.headers[names.targetInstance] !== this.instance)
      return incoming.send(421, { ...told, [names.notExecuted]: "1" }, "");
    if (mood.tag === "notRun" || this.active >= this.size.slots)
      return incoming.send(503, { ...told, [names.notExecuted]: "1" }, "");
    const after = +(incoming.headers[names.lastEventId] ?? 0);
    const run: EventRun = {
      id,
      at: this.env.wall(),
      after,
      target: incoming.target,
      host: incoming.headers.host ?? "",
      body: read.value.toString("utf8"),
      events: 0,
      whole: false,
    };
    this.runs.push(run);
    this.active += 1;
    this.most = Math.max(this.most, this.active);
    try {
      if (mood.tag === "dark") return void (yield* Csp.take(incoming.gone));
      if (mood.tag === "status") return incoming.send(mood.status, told, "sorry");
      incoming.open(200, { ...told, "content-type": "text/event-stream" });
      for (let n = after + 1; n <= this.size.events; n += 1) {
        yield* EnvTools.sleep(this.env, this.size.eventMs);
        if (incoming.gone.isClosed()) return;
        if (mood.tag === "cut" && n > mood.after) return incoming.abort();
        run.events += 1;
        incoming.write(`id: ${n}\ndata: ${eventOf(id, n)}\n\n`);
      }
      run.whole = true;
      incoming.end();
    } finally {
      this.active -= 1;
    }
  }
}
