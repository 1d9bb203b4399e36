import { Fault, Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { Environment, Link } from "../runtime/env";
import { Envelope, EnvelopeCodec } from "./envelopeCodec";
import { UntypedHandler } from "./methods";
import { NO_RESPONSE } from "./rpcClient";

/** Accepts connections of other members and runs a handler for each request. */
export class RpcServer {
  private readonly handlers = new Map<string, UntypedHandler>();
  /** Connections ended because of an envelope that is no request. */
  malformedCount = 0;
  /** Notifications whose handler failed: nobody else gets to know. */
  failedNotificationCount = 0;

  constructor(
    private readonly env: Environment,
    private readonly cluster: string,
    private readonly selfId: string,
  ) {}

  /** The handler of a method; a second one replaces the first. */
  handle(method: string, handler: UntypedHandler): void {
    this.handlers.set(method, handler);
  }

  /** Listens at the address; a fault where that fails. */
  *serve(address: string): Task<Result<true>> {
    const links = yield* this.env.listen(address);
    if (!links.ok) return links;
    const server = this;
    Csp.go(this.env.scope, "rpc listener", function* () {
      for (;;) {
        const link = yield* Csp.take(links.value);
        if (link === null) return;
        Csp.go(server.env.scope, `link from ${link.remoteAddress}`, () => server.serveLink(link));
      }
    });
    return Fault.ok(true as const);
  }

  /** Requests of one connection run side by side; responses go out as they are ready. */
  private *serveLink(link: Link): Task<void> {
    for (;;) {
      const bytes = yield* Csp.take(link.incoming);
      if (bytes === null) return;
      const request = EnvelopeCodec.decode(bytes, this.cluster);
      if (!request || request.kind !== "request") {
        this.malformedCount += 1;
        this.env.log(1105, { from: link.remoteAddress });
        link.close();
        return;
      }
      const server = this;
      Csp.go(this.env.scope, taskName(request), () => server.serveRequest(link, request));
    }
  }

  private *serveRequest(link: Link, request: Envelope): Task<void> {
    const result = yield* this.runHandler(request);
    if (request.correlationId === NO_RESPONSE) {
      if (!result.ok) this.failedNotificationCount += 1;
      return;
    }
    link.send(
      EnvelopeCodec.encode({
        kind: result.ok ? "response" : "error",
        correlationId: request.correlationId,
        cluster: this.cluster,
        method: request.method,
        sender: this.selfId,
        body: result.ok ? result.value : result.fault,
      }),
    );
  }

  private *runHandler(request: Envelope): Task<Result<unknown>> {
    const { method, body, sender } = request;
    const handler = this.handlers.get(method);
    // a process that starts listens before all its handlers are set: what comes then has certainly not run
    if (!handler) return Fault.fail("refused", method, this.selfId, "no handler, or none yet");
    try {
      // The body's type is the promise of the method's entry; a handler that meets another body may throw.
      return yield* handler(body as never, sender);
    } catch (error) {
      if (!this.env.scope.alive) throw error;
      const described = error instanceof Error ? (error.stack ?? error) : error;
      this.env.log(1004, { task: taskName(request), error: String(described) });
      return Fault.fail("internal", method, this.selfId, String(error));
    }
  }
}

const taskName = (request: Envelope): string => `ask ${request.method}`;
