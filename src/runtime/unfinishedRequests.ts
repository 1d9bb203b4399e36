import type * as http from "http";
import type { HttpExchange } from "./http";

/** A request whose response was not sent to its end when its process ended. */
export interface CutRequest {
  method: string;
  path: string;
  /** Time from its arrival to the end of the process, ms. */
  ageMs: number;
  /** Whether the head of its response was sent. */
  hasBegun: boolean;
}

interface UnfinishedRequest {
  exchange: HttpExchange;
  response: http.ServerResponse;
  arrivedAt: number;
}

/** The requests of an HTTP server whose responses have not been sent to their end. */
export class UnfinishedRequests {
  private readonly byResponse = new Map<http.ServerResponse, UnfinishedRequest>();

  get count(): number {
    return this.byResponse.size;
  }
  add(exchange: HttpExchange, response: http.ServerResponse): void {
    this.byResponse.set(response, { exchange, response, arrivedAt: performance.now() });
  }
  delete(response: http.ServerResponse): void {
    this.byResponse.delete(response);
  }
  /** The exchanges whose responses have not begun. */
  withoutResponse(): HttpExchange[] {
    return [...this.byResponse.values()]
      .filter(({ response }) => !response.headersSent)
      .map(({ exchange }) => exchange);
  }
  /** Whether a response has been ended of which a part still waits for the caller to read. */
  hasUnsentResponse(): boolean {
    return [...this.byResponse.keys()].some((response) => response.writableEnded);
  }
  /** Describes the requests as cut now. */
  cutNow(): CutRequest[] {
    return [...this.byResponse.values()].map(({ exchange, response, arrivedAt }) => ({
      method: exchange.method,
      path: exchange.path,
      ageMs: Math.round(performance.now() - arrivedAt),
      hasBegun: response.headersSent,
    }));
  }
}
