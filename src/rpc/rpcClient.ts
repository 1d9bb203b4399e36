import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Envelope, EnvelopeCodec } from "./envelopeCodec";
import { PendingCall, RpcConnection } from "./rpcConnection";

/** Correlation id of a request that wants no response. */
export const NO_RESPONSE = 0;
/** Correlation ids run from 1 to this, then start again. */
const MAX_CORRELATION_ID = 0xfffffffe;

type Failed = Extract<Result<never>, { ok: false }>;

/** A connection being made; whoever wants it meanwhile shares the outcome. */
interface ConnectionAttempt {
  /** Closed when the attempt has ended. */
  readonly done: Chan<true>;
  failure: Failed | undefined;
}

/** Sends requests to other members, over one connection a member, and matches the responses. */
export class RpcClient {
  private readonly connections = new Map<string, RpcConnection>();
  private readonly attempts = new Map<string, ConnectionAttempt>();
  private lastCorrelationId = 0;
  /** Connections ended because of an envelope that is no response. */
  malformedCount = 0;
  /** Responses that no call waited for any more. */
  lateResponseCount = 0;
  callCount = 0;
  notificationCount = 0;

  constructor(
    private readonly env: Environment,
    private readonly cluster: string,
    private readonly selfId: string,
  ) {}

  /** See `Rpc.call`. */
  *call(
    address: string,
    method: string,
    body: unknown,
    timeoutMs: number,
    isCancelled?: () => boolean,
  ): Task<Result<unknown>> {
    const startedAt = this.env.monotonicMs();
    this.callCount += 1;
    const connected = yield* this.connect(address);
    if (!connected.ok) return connected;
    const connection = connected.value;
    connection.lastUsedAt = this.env.monotonicMs();
    const correlationId = this.nextCorrelationId();
    const pending = connection.addPending(correlationId, method);
    if (!connection.link.send(this.encodeRequest(correlationId, method, body))) {
      connection.removePending(correlationId);
      this.close(connection);
      return Fault.fail("broken", method, address, "connection is down or full");
    }
    const response = yield* this.awaitResponse(pending, startedAt + timeoutMs, isCancelled);
    connection.removePending(correlationId);
    if (response) return response;
    // Nothing arrived for as long as this call ran: the connection may be dead without having been closed.
    if (connection.lastReceivedAt < startedAt) this.close(connection);
    return Fault.fail("timeout", method, address, `no reply in ${Math.round(timeoutMs)} ms`);
  }

  /** See `Rpc.notify`. */
  notify(addresses: readonly string[], method: string, body: unknown): void {
    const client = this;
    const bytes = this.encodeRequest(NO_RESPONSE, method, body);
    for (const address of addresses) {
      const open = this.connections.get(address);
      if (open) this.sendNotification(open, bytes);
      else
        Csp.go(this.env.scope, `notify ${method}`, function* () {
          const connected = yield* client.connect(address);
          if (connected.ok) client.sendNotification(connected.value, bytes);
        });
    }
  }

  /** See `Rpc.closeIfIdle`. */
  closeIfIdle(address: string): void {
    const open = this.connections.get(address);
    if (open?.isIdle) this.close(open);
  }

  /** See `Rpc.closeUnused`. */
  closeUnused(unusedMs: number): void {
    const usedBefore = this.env.monotonicMs() - unusedMs;
    for (const [address, connection] of this.connections)
      if (connection.lastUsedAt < usedBefore) this.closeIfIdle(address);
  }

  private *awaitResponse(
    pending: PendingCall,
    deadline: number,
    isCancelled: (() => boolean) | undefined,
  ): Task<Result<unknown> | null | undefined> {
    const waitMs = (): number =>
      Math.min(deadline - this.env.monotonicMs(), isCancelled ? Constants.leaderChangedMs : Infinity);
    let response = yield* EnvironmentTools.takeWithin(this.env, pending.result, waitMs());
    while (!response && isCancelled && !isCancelled() && this.env.monotonicMs() < deadline)
      response = yield* EnvironmentTools.takeWithin(this.env, pending.result, waitMs());
    return response;
  }

  private *connect(address: string): Task<Result<RpcConnection>> {
    const open = this.connections.get(address);
    if (open) return Fault.ok(open);
    // Callers that come while a connection is being made share its outcome: one after another they would never end.
    const underWay = this.attempts.get(address);
    if (underWay) {
      yield* Csp.take(underWay.done);
      const made = this.connections.get(address);
      if (made) return Fault.ok(made);
      return underWay.failure ?? Fault.fail("refused", "connect", address, "connection ended as it was made");
    }
    const attempt: ConnectionAttempt = { done: Csp.chan<true>(1), failure: undefined };
    this.attempts.set(address, attempt);
    const linked = yield* this.env.connect(address, Constants.memberConnectMs);
    this.attempts.delete(address);
    if (!linked.ok) {
      attempt.failure = linked;
      attempt.done.close();
      return linked;
    }
    const connection = new RpcConnection(address, linked.value, this.env.monotonicMs());
    this.connections.set(address, connection);
    attempt.done.close();
    const client = this;
    Csp.go(this.env.scope, `link to ${address}`, () => client.receive(connection));
    return Fault.ok(connection);
  }

  /** Takes in responses until the connection ends. */
  private *receive(connection: RpcConnection): Task<void> {
    for (;;) {
      const bytes = yield* Csp.take(connection.link.incoming);
      if (bytes === null) break;
      connection.lastReceivedAt = this.env.monotonicMs();
      const envelope: Envelope | undefined = EnvelopeCodec.decode(bytes, this.cluster);
      if (!envelope || (envelope.kind !== "response" && envelope.kind !== "error")) {
        this.malformedCount += 1;
        connection.link.close();
        break;
      }
      if (!connection.resolve(envelope)) this.lateResponseCount += 1;
    }
    this.close(connection);
  }

  private sendNotification(connection: RpcConnection, bytes: Buffer): void {
    this.notificationCount += 1;
    connection.lastUsedAt = this.env.monotonicMs();
    if (!connection.link.send(bytes)) this.close(connection);
  }

  private close(connection: RpcConnection): void {
    if (this.connections.get(connection.address) === connection) this.connections.delete(connection.address);
    connection.close();
  }

  private nextCorrelationId(): number {
    this.lastCorrelationId = 1 + (this.lastCorrelationId % MAX_CORRELATION_ID);
    return this.lastCorrelationId;
  }

  private encodeRequest(correlationId: number, method: string, body: unknown): Buffer {
    return EnvelopeCodec.encode({
      kind: "request",
      correlationId,
      cluster: this.cluster,
      method,
      sender: this.selfId,
      body,
    });
  }
}
