import { Constants } from "../common/constants";
import { Fault } from "../common/fault";
import { Route } from "../controlState/configuration";
import { DirectHttp, DirectResponse } from "../forwarding/directHttp";
import { EventStreamReader } from "../forwarding/eventStreamReader";
import { impliesNotExecuted } from "../forwarding/notExecutedStatus";
import type { Endpoint } from "../node/clusterSnapshot";
import { Task } from "../runtime/csp";
import { HttpRequest } from "../runtime/env";
import type { DirectContext } from "./directContext";
import { PendingDirectRequest } from "./pendingDirectRequest";

/** The outcome of one attempt at one endpoint. */
export type AttemptOutcome =
  | { tag: "responded"; status: number }
  /** The caller has disconnected. */
  | { tag: "callerDisconnected" }
  /** The request provably did not run; `delivered` tells whether the endpoint itself refused it. */
  | { tag: "notExecuted"; fault: Fault; delivered: boolean }
  /** The request may have run. */
  | { tag: "failed"; fault: Fault };

const failed = (step: string, endpoint: Endpoint, detail: string): AttemptOutcome => ({
  tag: "failed",
  fault: { tag: "broken", step, member: endpoint.id, detail },
});

const isExactlyResumable = (route: Route): boolean => route.safe && route.continues === "exact";

/**
 * Makes one attempt to run a direct request at an endpoint for which capacity was acquired: sends the request and relays
 * the response. Always releases the capacity.
 */
export class EndpointAttempt {
  constructor(
    private readonly context: DirectContext,
    private readonly pending: PendingDirectRequest,
    private readonly endpoint: Endpoint,
  ) {}

  /** With `mayRetry`, another attempt may follow, so this one leaves time for it. */
  *run(mayRetry: boolean): Task<AttemptOutcome> {
    const { admissionQueue, env, headerNames } = this.context;
    const { exchange, forwarded, route } = this.pending;
    const { endpoint } = this;
    const leftMs = this.leftMs();
    const headTimeoutMs =
      route.safe && mayRetry
        ? Math.min(leftMs, Math.max(Constants.responseHeadTimeoutMs, 2 * (route.targetMs ?? 0)))
        : leftMs;
    const cancellation: NonNullable<HttpRequest["cancellation"]> = {};
    // The endpoint should stop working on a request whose caller has disconnected.
    exchange.onDisconnect = () => cancellation.cancel?.();
    const request = { ...forwarded, remainingMs: leftMs };
    exchange.mayHaveRun = true;
    const opened = yield* DirectHttp.open(env, headerNames, endpoint, request, headTimeoutMs, cancellation);
    if (!opened.ok) return this.openFailed(opened.fault);
    const outcome = yield* this.relay(opened.value, headTimeoutMs);
    exchange.onDisconnect = undefined;
    const isFailure = outcome.tag === "failed";
    admissionQueue.release(endpoint, !isFailure, isFailure && outcome.fault.tag === "timeout");
    return outcome;
  }

  private openFailed(fault: Fault): AttemptOutcome {
    const { admissionQueue } = this.context;
    if (this.callerDisconnected()) {
      admissionQueue.release(this.endpoint, true);
      return { tag: "callerDisconnected" };
    }
    const notExecuted = fault.tag === "refused";
    const delivered = fault.step === "deliver";
    // A missing connection or response is a stronger sign of an unhealthy endpoint than a single bad response.
    const decisive = !delivered && fault.tag !== "broken";
    admissionQueue.release(this.endpoint, notExecuted && delivered, decisive);
    this.pending.exchange.mayHaveRun = this.pending.mayHaveRun || !notExecuted;
    return notExecuted ? { tag: "notExecuted", fault, delivered } : { tag: "failed", fault };
  }

  private *relay(opened: DirectResponse, firstEventWithinMs: number): Task<AttemptOutcome> {
    const { endpointSignature } = this.context.headerNames;
    const isSuccess = opened.status < 300;
    if (isSuccess && endpointSignature !== "" && opened.headers[endpointSignature] === undefined) {
      opened.response.abort();
      return failed("check reply", this.endpoint, "a success without the replica's mark");
    }
    const contentType = opened.headers["content-type"] ?? "";
    if (opened.status === 200 && contentType.startsWith("text/event-stream"))
      return yield* this.relayStream(opened, firstEventWithinMs);
    return yield* this.relayBody(opened);
  }

  private *relayBody(opened: DirectResponse): Task<AttemptOutcome> {
    const { exchange, responseOpen, route } = this.pending;
    const body = yield* DirectHttp.readBody(this.context.env, this.endpoint, opened, this.leftMs());
    if (!body.ok && this.callerDisconnected()) return { tag: "callerDisconnected" };
    if (!body.ok) return failed("read reply", this.endpoint, "reply was cut, too long or too slow");
    const mustNotReachCaller =
      responseOpen || impliesNotExecuted(opened.status) || (opened.status >= 500 && route.safe);
    if (mustNotReachCaller) return failed("read reply", this.endpoint, `replica replied ${opened.status}`);
    const { headers } = opened;
    // An endpoint that crashes may close its connection in order too, so such a body isn't framed as complete.
    if (opened.response.framing === "connection") exchange.sendUntilClose(opened.status, headers, body.value);
    else exchange.send(opened.status, headers, body.value);
    return { tag: "responded", status: opened.status };
  }

  private *relayStream(opened: DirectResponse, firstEventWithinMs: number): Task<AttemptOutcome> {
    const { pending } = this;
    const { exchange, forwarded } = pending;
    const events = new EventStreamReader(this.context.env, this.endpoint.id, opened.response, forwarded.lastEventId);
    for (let isFirst = true; ; isFirst = false) {
      const eventTimeoutMs = isFirst ? firstEventWithinMs : this.eventTimeoutMs();
      const received = yield* events.next(Math.min(this.leftMs(), eventTimeoutMs));
      if (this.callerDisconnected()) {
        opened.response.abort();
        return { tag: "callerDisconnected" };
      }
      if (!received.ok) return { tag: "failed", fault: received.fault };
      if (!pending.responseOpen) {
        exchange.startStream(opened.status, opened.headers);
        pending.responseOpen = true;
      }
      if (received.value === undefined) {
        exchange.end();
        return { tag: "responded", status: opened.status };
      }
      const [first, ...more] = received.value;
      exchange.write(more.length === 0 ? first.raw : Buffer.concat(received.value.map((event) => event.raw)));
      forwarded.lastEventId = events.lastId;
    }
  }

  /** The longest time between two events of a stream; until the deadline if no other endpoint can resume the stream. */
  private eventTimeoutMs(): number {
    const { route } = this.pending;
    if (!isExactlyResumable(route)) return this.leftMs();
    return Math.max(Constants.resumableStallMs, 3 * (route.pieceGapMs ?? 0));
  }

  private leftMs(): number {
    return this.pending.deadlineAt - this.context.env.monotonicMs();
  }

  private callerDisconnected(): boolean {
    return this.pending.exchange.disconnected.isClosed();
  }
}
