import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Chan, Csp, Task } from "../runtime/csp";
import { Environment, EnvironmentTools } from "../runtime/env";
import { Envelope, EnvelopeCodec } from "./envelopeCodec";
import { PendingCall, RpcConnection } from "./rpcConnection";

/** The correlation id of a request that expects no response. */
export const NO_RESPONSE = 0;
/** Correlation ids run from 1 to this number and then start again at 1. */
const MAX_CORRELATION_ID = 0xfffffffe;

type Failure = Extract<Result<never>, { ok: false }>;

/** An attempt to connect; concurrent calls to the same address share its outcome. */
interface ConnectionAttempt {
  /** Closed when the attempt has ended. */
  readonly done: Chan<true>;
  failure: Failure | undefined;
}

/** Sends requests to other members, over one connection per member, and matches responses to calls. */
export class RpcClient {
  private readonly connections = new Map<string, RpcConnection>();
  private readonly attempts = new Map<string, ConnectionAttempt>();
  private lastCorrelationId = 0;
  /** The number of connections closed because they carried something other than a response. */
  malformedCount = 0;
  /** The number of responses that arrived after their calls had ended. */
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
    // Nothing arrived on the connection during the call: its peer may have failed without closing it.
    if (connection.lastReceivedAt < startedAt) this.close(connection);
    return Fault.fail("timeout", method, address, `no reply in ${Math.round(timeoutMs)} ms`);
  }

  /** See `Rpc.notify`. */
  notify(addresses: readonly string[], method: string, body: unknown): void {
    const client = this;
    const bytes = this.encodeRequest(NO_RESPONSE, method, body);
    for (const address of addresses) {
      const connection = this.connections.get(address);
      if (connection) this.sendNotification(connection, bytes);
      else
        Csp.go(this.env.scope, `notify ${method}`, function* () {
          const connected = yield* client.connect(address);
          if (connected.ok) client.sendNotification(connected.value, bytes);
        });
    }
  }

  /** See `Rpc.closeIfIdle`. */
  closeIfIdle(address: string): void {
    const connection = this.connections.get(address);
    if (connection?.isIdle) this.close(connection);
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
      Math.min(deadline - this.env.monotonicMs(), isCancelled ? Constants.callAbortCheckPeriodMs : Infinity);
    let response = yield* EnvironmentTools.takeWithin(this.env, pending.result, waitMs());
    while (!response && isCancelled && !isCancelled() && this.env.monotonicMs() < deadline)
      response = yield* EnvironmentTools.takeWithin(this.env, pending.result, waitMs());
    return response;
  }

  private *connect(address: string): Task<Result<RpcConnection>> {
    const existing = this.connections.get(address);
    if (existing) return Fault.ok(existing);
    // Calls that start during an attempt to connect share its outcome: if each made an attempt of its own in turn,
    // calls to an unreachable member would queue up without end.
    const ongoing = this.attempts.get(address);
    if (ongoing) {
      yield* Csp.take(ongoing.done);
      const established = this.connections.get(address);
      if (established) return Fault.ok(established);
      return ongoing.failure ?? Fault.fail("refused", "connect", address, "connection ended as it was made");
    }
    const attempt: ConnectionAttempt = { done: Csp.chan<true>(1), failure: undefined };
    this.attempts.set(address, attempt);
    const linked = yield* this.env.connect(address, Constants.memberConnectTimeoutMs);
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

  /** Receives responses until the connection ends. */
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
