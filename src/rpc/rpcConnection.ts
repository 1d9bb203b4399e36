import { Fault, Result } from "../common/fault";
import { Chan, Csp } from "../runtime/csp";
import { Link } from "../runtime/env";
import { Envelope } from "./envelopeCodec";

/** A request whose response has not arrived. */
export interface PendingCall {
  readonly method: string;
  /** Gets the result once. */
  readonly result: Chan<Result<unknown>>;
}

/** The result that a response or error envelope carries. */
function resultOf(address: string, envelope: Envelope): Result<unknown> {
  if (envelope.kind === "response") return Fault.ok(envelope.body);
  if (Fault.is(envelope.body)) return { ok: false, fault: envelope.body };
  return Fault.fail("broken", envelope.method, address, "the response's fault is none");
}

/** The client's end of one connection, with the calls that wait for a response on it. */
export class RpcConnection {
  /** By correlation id. */
  private readonly pending = new Map<number, PendingCall>();
  /** When the last envelope arrived, monotonic ms. */
  lastReceivedAt: number;
  /** When it last carried a request, monotonic ms. */
  lastUsedAt: number;

  constructor(
    readonly address: string,
    readonly link: Link,
    now: number,
  ) {
    this.lastReceivedAt = now;
    this.lastUsedAt = now;
  }

  /** Whether no call waits for a response. */
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
   * Gives a response to the call that waits for it; false if none does. Ids are matched on this very connection only: a
   * process that was restarted at the address has other connections, so it never gets what its predecessor was sent.
   */
  resolve(envelope: Envelope): boolean {
    const call = this.pending.get(envelope.correlationId);
    if (call === undefined || call.method !== envelope.method) return false;
    this.pending.delete(envelope.correlationId);
    Csp.offer(call.result, resultOf(this.address, envelope));
    return true;
  }

  /** Closes the connection; every pending call fails with "broken". */
  close(): void {
    this.link.close();
    for (const call of this.pending.values())
      Csp.offer(call.result, Fault.fail("broken", call.method, this.address, "connection ended"));
    this.pending.clear();
  }
}
