import { Fault, Result } from "../common/fault";
import { Csp, Task } from "../runtime/csp";
import { Environment, Link } from "../runtime/env";
import { Envelope, EnvelopeCodec } from "./envelopeCodec";
import { UntypedHandler } from "./methods";
import { NO_RESPONSE } from "./rpcClient";

/** Accepts connections of other members and runs a handler for each request. */
export class RpcServer {
  private readonly handlers = new Map<string, UntypedHandler>();
  /** The number of connections closed because they carried something other than a request. */
  malformedCount = 0;
  /** The number of notifications whose handler returned a fault; their senders are not told. */
  failedNotificationCount = 0;

  constructor(
    private readonly env: Environment,
    private readonly cluster: string,
    private readonly selfId: string,
  ) {}

  /** Sets the handler of a method and replaces any earlier one. */
  handle(method: string, handler: UntypedHandler): void {
    this.handlers.set(method, handler);
  }

  /** See `Rpc.serve`. */
  *serve(address: string): Task<Result<true>> {
    const accepted = yield* this.env.listen(address);
    if (!accepted.ok) return accepted;
    const server = this;
    Csp.go(this.env.scope, "rpc listener", function* () {
      for (;;) {
        const link = yield* Csp.take(accepted.value);
        if (link === null) return;
        Csp.go(server.env.scope, `link from ${link.remoteAddress}`, () => server.serveLink(link));
      }
    });
    return Fault.ok(true as const);
  }

  /** Runs the requests of one connection concurrently; responses are sent in the order of completion. */
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
    // A process starts to listen before all its handlers are set; a request that arrives in between has not run.
    if (!handler) return Fault.fail("refused", method, this.selfId, "no handler, or none yet");
    try {
      // The body has not been checked against the type of the method's entry, so the handler may throw.
      return yield* handler(body as never, sender);
    } catch (error) {
      if (!this.env.scope.alive) throw error;
      const described = error instanceof Error ? (error.stack ?? error) : error;
      this.env.log(1004, { task: taskName(request), error: String(described) });
      return Fault.fail("internal", method, this.selfId, String(error));
    }
  }
}

const taskName = (request: Envelope): string => `request ${request.method}`;
