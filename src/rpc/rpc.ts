import { Constants } from "../common/constants";
import { Chan, Csp, Task } from "../runtime/csp";
import { Env, EnvTools, Link } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { Envelope, EnvelopeCodec } from "./envelopeCodec";

/* eslint-disable @typescript-eslint/no-explicit-any */
export type Handler = (body: any, sender: string) => Task<Result<unknown>>;
/** The correlation of what wants no reply. */
const told = 0;
type Waiting = { reply: Chan<Result<unknown>>; step: string };
type Connecting = { done: Chan<true>; failed: { ok: false; fault: Fault } | undefined };
type Connection = { link: Link; waiting: Map<number, Waiting>; lastHeard: number; usedAt: number };

/**
 * Asks and replies between members, over one connection a pair.
 *
 * @example
 * const rpc = new Rpc(env, "kiln", "node-1");
 * rpc.handle("echo", function* (body) { return Fault.ok(body); });
 * yield* rpc.serve("127.0.0.1:7001");
 * const replied = yield* rpc.ask("127.0.0.1:7002", "echo", { a: 1 }, 500);
 */
export class Rpc {
  private readonly handlers = new Map<string, Handler>();
  private readonly connections = new Map<string, Connection>();
  private readonly connecting = new Map<string, Connecting>();
  private correlation = 0;
  dropped = 0;
  /** Responses that nobody waited for any more. */
  late = 0;
  asked = 0;
  told = 0;
  constructor(
    private readonly env: Env,
    private readonly cluster: string,
    private readonly self: string,
  ) {}

  /** @example rpc.handle("seal", sealHandler); */
  handle(verb: string, handler: Handler): void {
    this.handlers.set(verb, handler);
  }

  /** @example yield* rpc.serve("127.0.0.1:7001"); */
  *serve(address: string): Task<Result<true>> {
    const links = yield* this.env.listen(address);
    if (!links.ok) return links;
    const rpc = this;
    Csp.go(this.env.scope, "rpc listener", function* () {
      for (;;) {
        const link = yield* Csp.take(links.value);
        if (link === null) return;
        Csp.go(rpc.env.scope, `link from ${link.member}`, () => rpc.serveLink(link));
      }
    });
    return Fault.ok(true as const);
  }

  private *serveLink(link: Link): Task<void> {
    for (;;) {
      const frame = yield* Csp.take(link.incoming);
      if (frame === null) return;
      const envelope = EnvelopeCodec.decode(frame, this.cluster);
      if (!envelope || envelope.kind !== "ask") {
        this.dropped += 1;
        this.env.log(1105, { from: link.member });
        link.close();
        return;
      }
      const handler = this.handlers.get(envelope.verb);
      const rpc = this;
      Csp.go(this.env.scope, `ask ${envelope.verb}`, function* () {
        let result: Result<unknown>;
        try {
          result = handler
            ? yield* handler(envelope.body, envelope.sender)
            : Fault.fail("invalid", envelope.verb, rpc.self, "unknown verb");
        } catch (error) {
          if (!rpc.env.scope.alive) throw error;
          rpc.env.log(1004, { task: `ask ${envelope.verb}`, error: String((error as Error).stack ?? error) });
          result = Fault.fail("internal", envelope.verb, rpc.self, String(error));
        }
        if (envelope.correlation === told) {
          if (!result.ok) rpc.dropped += 1;
          return;
        }
        link.send(
          EnvelopeCodec.encode({
            kind: result.ok ? "reply" : "fault",
            correlation: envelope.correlation,
            cluster: rpc.cluster,
            verb: envelope.verb,
            sender: rpc.self,
            body: result.ok ? result.value : result.fault,
          }),
        );
      });
    }
  }

  private *connection(address: string): Task<Result<Connection>> {
    const known = this.connections.get(address);
    if (known) return Fault.ok(known);
    // whoever comes while a connection is being made shares its outcome: in turn they would wait for ever
    const underWay = this.connecting.get(address);
    if (underWay) {
      yield* Csp.take(underWay.done);
      const made = this.connections.get(address);
      if (made) return Fault.ok(made);
      return underWay.failed ?? Fault.fail("refused", "connect", address, "connection ended as it was made");
    }
    const making: Connecting = { done: Csp.chan<true>(1), failed: undefined };
    this.connecting.set(address, making);
    const linked = yield* this.env.connect(address, Constants.memberConnectMs);
    this.connecting.delete(address);
    if (!linked.ok) {
      making.failed = linked;
      making.done.close();
      return linked;
    }
    const connection: Connection = {
      link: linked.value,
      waiting: new Map(),
      lastHeard: this.env.mono(),
      usedAt: this.env.mono(),
    };
    this.connections.set(address, connection);
    making.done.close();
    const rpc = this;
    Csp.go(this.env.scope, `link to ${address}`, function* () {
      for (;;) {
        const frame = yield* Csp.take(connection.link.incoming);
        if (frame === null) break;
        connection.lastHeard = rpc.env.mono();
        const envelope = EnvelopeCodec.decode(frame, rpc.cluster);
        if (!envelope || (envelope.kind !== "reply" && envelope.kind !== "fault")) {
          rpc.dropped += 1;
          connection.link.close();
          break;
        }
        rpc.resolve(address, connection, envelope);
      }
      rpc.forget(address, connection);
    });
    return Fault.ok(connection);
  }

  /**
   * Gives a response to the ask that waits for it on this very connection; one that nobody waits for is late and dropped.
   * A process that was started again at the address has other connections, and so never gets what was meant for another.
   */
  private resolve(address: string, connection: Connection, envelope: Envelope): void {
    const waiting = connection.waiting.get(envelope.correlation);
    if (waiting === undefined || waiting.step !== envelope.verb) {
      this.late += 1;
      return;
    }
    connection.waiting.delete(envelope.correlation);
    Csp.offer(waiting.reply, Rpc.resultOf(address, envelope));
  }
  private static resultOf(address: string, envelope: Envelope): Result<unknown> {
    if (envelope.kind === "reply") return Fault.ok(envelope.body);
    if (Fault.is(envelope.body)) return { ok: false, fault: envelope.body };
    return Fault.fail("broken", envelope.verb, address, "the response's fault is none");
  }
  private forget(address: string, connection: Connection): void {
    if (this.connections.get(address) === connection) this.connections.delete(address);
    connection.link.close();
    for (const waiting of connection.waiting.values())
      Csp.offer(waiting.reply, Fault.fail("broken", waiting.step, address, "connection ended"));
    connection.waiting.clear();
  }

  /**
   * Tells members something that wants no reply, and may be lost with its connection.
   * @example rpc.tell([address], "news.push", push);
   */
  notify(addresses: string[], verb: string, body: unknown): void {
    const rpc = this;
    const frame = EnvelopeCodec.encode({
      kind: "ask",
      correlation: told,
      cluster: this.cluster,
      verb,
      sender: this.self,
      body,
    });
    const send = (address: string, connection: Connection): void => {
      rpc.told += 1;
      connection.usedAt = rpc.env.mono();
      if (!connection.link.send(frame)) rpc.forget(address, connection);
    };
    for (const address of addresses) {
      const known = this.connections.get(address);
      if (known) send(address, known);
      else
        Csp.go(this.env.scope, `tell ${verb}`, function* () {
          const connected = yield* rpc.connection(address);
          if (connected.ok) send(address, connected.value);
        });
    }
  }
  /** Ends the connection to a member that may not be there, unless a reply is waited for: that tells by itself. @example rpc.drop(address); */
  drop(address: string): void {
    const known = this.connections.get(address);
    if (known && known.waiting.size === 0) this.forget(address, known);
  }
  /** Ends connections that were not used for so long. @example rpc.sweep(30_000); */
  sweep(idleMs: number): void {
    const before = this.env.mono() - idleMs;
    for (const [address, connection] of this.connections) if (connection.usedAt < before) this.drop(address);
  }
  /** Asks a member; the fault says whether anything may have been sent. No reply is waited for once it is moot. @example yield* rpc.ask(address, "status", {}, 500) */
  *call<T = any>(
    address: string,
    verb: string,
    body: unknown,
    timeoutMs: number,
    moot?: () => boolean,
  ): Task<Result<T>> {
    const startedAt = this.env.mono();
    this.asked += 1;
    const connected = yield* this.connection(address);
    if (!connected.ok) return connected;
    const connection = connected.value;
    connection.usedAt = this.env.mono();
    const correlation = (this.correlation = 1 + (this.correlation % 0xfffffffe));
    const waiting: Waiting = { reply: Csp.chan(1), step: verb };
    connection.waiting.set(correlation, waiting);
    const sent = connection.link.send(
      EnvelopeCodec.encode({ kind: "ask", correlation, cluster: this.cluster, verb, sender: this.self, body }),
    );
    if (!sent) {
      connection.waiting.delete(correlation);
      this.forget(address, connection);
      return Fault.fail("broken", verb, address, "connection is down or full");
    }
    const until = startedAt + timeoutMs;
    const turn = (): number => Math.min(until - this.env.mono(), moot ? Constants.leaderChangedMs : Infinity);
    let response = yield* EnvTools.takeWithin(this.env, waiting.reply, turn());
    while (!response && moot && !moot() && this.env.mono() < until)
      response = yield* EnvTools.takeWithin(this.env, waiting.reply, turn());
    connection.waiting.delete(correlation);
    if (response) return response as Result<T>;
    // silent for as long as this ask: the connection may be dead though nobody said so
    if (connection.lastHeard < startedAt) this.forget(address, connection);
    return Fault.fail("timeout", verb, address, `no reply in ${Math.round(timeoutMs)} ms`);
  }
}
