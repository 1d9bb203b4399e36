import { Fault, Result } from "../common/fault";
import { Chan, Csp } from "../runtime/csp";
import { Link } from "../runtime/env";
import { Envelope } from "./envelopeCodec";

/** A call whose response has not arrived yet. */
export interface PendingCall {
  readonly method: string;
  /** Receives the result, exactly once. */
  readonly result: Chan<Result<unknown>>;
}

/** Returns the result that a response or error envelope carries. */
function resultOf(address: string, envelope: Envelope): Result<unknown> {
  if (envelope.kind === "response") return Fault.ok(envelope.body);
  if (Fault.is(envelope.body)) return { ok: false, fault: envelope.body };
  return Fault.fail("broken", envelope.method, address, "the response's fault is none");
}

/** The client side of a connection, with the calls that are pending on it. */
export class RpcConnection {
  /** The pending calls by correlation id. */
  private readonly pending = new Map<number, PendingCall>();
  /** When the last data arrived, in monotonic ms. */
  lastReceivedAt: number;
  /** When the last request was sent, in monotonic ms. */
  lastUsedAt: number;

  constructor(
    readonly address: string,
    readonly link: Link,
    now: number,
  ) {
    this.lastReceivedAt = now;
    this.lastUsedAt = now;
  }

  /** Whether no call is pending. */
  get isIdle(): boolean {
    return this.pending.size === 0;
  }

  addPending(correlationId: number, method: string): PendingCall {
    const call: PendingCall = { method, result: Csp.chan(1) };
    this.pending.set(correlationId, call);
    return call;
  }

  removePending(correlationId: number): void {
    this.pending.delete(correlationId);
  }

  /**
   * Completes the call that a response belongs to; returns false if there is none. Correlation ids are matched only
   * within one connection: a process that was restarted at the same address has other connections, so its responses
   * cannot complete calls that were sent to its predecessor.
   */
  resolve(envelope: Envelope): boolean {
    const call = this.pending.get(envelope.correlationId);
    if (call === undefined || call.method !== envelope.method) return false;
    this.pending.delete(envelope.correlationId);
    Csp.offer(call.result, resultOf(this.address, envelope));
    return true;
  }

  /** Closes the connection and fails every pending call with "broken". */
  close(): void {
    this.link.close();
    for (const call of this.pending.values())
      Csp.offer(call.result, Fault.fail("broken", call.method, this.address, "connection ended"));
    this.pending.clear();
  }
}
