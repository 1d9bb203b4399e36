import { Http } from "../adapters/http";
import { Fault } from "../common/fault";
import { HttpExchange } from "../runtime/env";
import type { DirectContext } from "./directContext";

const payloadTooLarge = 413;

/**
 * Responses of the ingress's own to direct requests; responses of endpoints are passed on unchanged.
 *
 * @example
 * responses.reject(exchange, "accept", "ingress-1", "stopping", 1000);
 */
export class DirectResponses {
  constructor(private readonly context: DirectContext) {}

  /** Promises that the request did not run and never will; retry-after is jittered, in fractions of seconds. */
  reject(exchange: HttpExchange, step: string, member: string, detail: string, retryAfterMs: number): void {
    this.context.counters.rejections += 1;
    const retryAfterSeconds = (retryAfterMs * (0.85 + 0.3 * this.context.env.random())) / 1000;
    this.fail(exchange, { tag: "busy", step, member, detail, retryAfterMs }, 503, {
      "retry-after": retryAfterSeconds.toFixed(2),
    });
  }

  /** Responds with a problem object. */
  fail(exchange: HttpExchange, fault: Fault, status: number, headers: Record<string, string> = {}): void {
    const close = status === payloadTooLarge ? { connection: "close" } : this.closeHeader();
    const problemHeaders = { "content-type": "application/problem+json", ...headers, ...close };
    exchange.send(status, problemHeaders, JSON.stringify(Http.problemOf(fault, status)));
  }

  /** A header that ends the connection with the response while the ingress stops. */
  closeHeader(): Record<string, string> {
    return this.context.readiness.stopping ? { connection: "close" } : {};
  }
}
