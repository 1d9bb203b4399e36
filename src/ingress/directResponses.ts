import { Http } from "../adapters/http";
import { Fault } from "../common/fault";
import { HttpExchange } from "../runtime/env";
import type { DirectContext } from "./directContext";

const PAYLOAD_TOO_LARGE = 413;

/**
 * Sends the responses to direct requests that the ingress itself generates; responses of endpoints are relayed unchanged.
 */
export class DirectResponses {
  constructor(private readonly context: DirectContext) {}

  /** Guarantees that the request did not run and never will; retry-after has jitter and is in fractions of seconds. */
  reject(exchange: HttpExchange, step: string, member: string, detail: string, retryAfterMs: number): void {
    this.context.counters.rejections += 1;
    const retryAfterSeconds = (retryAfterMs * (0.85 + 0.3 * this.context.env.random())) / 1000;
    this.fail(exchange, { tag: "busy", step, member, detail, retryAfterMs }, 503, {
      "retry-after": retryAfterSeconds.toFixed(2),
    });
  }

  /** Responds with a problem object. */
  fail(exchange: HttpExchange, fault: Fault, status: number, headers: Record<string, string> = {}): void {
    const close: Record<string, string> = status === PAYLOAD_TOO_LARGE ? { connection: "close" } : {};
    const problemHeaders = { "content-type": "application/problem+json", ...headers, ...close };
    exchange.send(status, problemHeaders, JSON.stringify(Http.problemOf(fault, status)));
  }
}
