import type * as http from "http";

/** A request whose response was not sent to its end when its process ended. */
export interface CutRequest {
  method: string;
  path: string;
  /** Time from its arrival to the end of the process, ms. */
  ageMs: number;
  /** Whether the head of its response was sent. */
  hasBegun: boolean;
}

/** The requests of an HTTP server whose responses have not been sent to their end. */
export class UnfinishedRequests {
  private readonly arrivals = new Map<http.ServerResponse, { request: http.IncomingMessage; arrivedAt: number }>();

  get count(): number {
    return this.arrivals.size;
  }
  add(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.arrivals.set(response, { request, arrivedAt: performance.now() });
  }
  delete(response: http.ServerResponse): void {
    this.arrivals.delete(response);
  }
  /** Describes the requests as cut now. */
  cutNow(): CutRequest[] {
    return [...this.arrivals].map(([response, { request, arrivedAt }]) => ({
      method: request.method ?? "",
      path: request.url ?? "",
      ageMs: Math.round(performance.now() - arrivedAt),
      hasBegun: response.headersSent,
    }));
  }
}
