import { Result } from "../common/fault";
import type { BodyEnd } from "./bodyEnd";
import type { BodyFraming } from "./bodyFraming";
import { Chan, Task } from "./csp";
import type { RequestCorrelation } from "./requestCorrelation";

/** Limits on the requests and connections of callers. */
export interface HttpLimits {
  /** The maximum total size of the headers of a request, in bytes. */
  readonly headerBytes: number;
  /** The maximum time from the start of a request until its headers are complete, in ms. */
  readonly headerMs: number;
  /** The maximum time that a connection may be idle, in ms. */
  readonly idleMs: number;
}

/** The framings of a response whose length is not known in advance. */
export type StreamFraming = Extract<BodyFraming, "chunked" | "connection">;

/** A request that the server received, and the response to it. */
export interface HttpExchange {
  readonly method: string;
  /** The path without the query. */
  readonly path: string;
  /** The path and the query as received. */
  readonly target: string;
  readonly query: URLSearchParams;
  /** The headers by lower-case name. */
  readonly headers: Record<string, string>;
  readonly callerAddress: string;
  /** Closed when the caller has disconnected. */
  readonly disconnected: Chan<true>;
  /** Called if the caller disconnects before the response is complete; set by the handler. */
  onDisconnect?: () => void;
  /**
   * Whether the request may have had an effect; set by a handler that knows. It decides about the last response if the
   * process stops before there is another one. Default: whether its method is a safe one.
   */
  mayHaveRun?: boolean;
  /**
   * Reads the body. Faults: "invalid" if it is longer than `limit` bytes, "broken" if the caller disconnects, "busy" if the
   * process takes no requests any more when the last byte arrives.
   */
  body(limit: number): Task<Result<Buffer>>;
  /** Sends a complete response. */
  send(status: number, headers: Record<string, string>, body: string | Buffer): void;
  /**
   * Sends a response that is delimited by the end of the connection (RFC 9112, section 6.3), for a body that may be
   * incomplete and so must not be framed as complete.
   */
  sendUntilClose(status: number, headers: Record<string, string>, body: Buffer): void;
  /** Starts a streamed response, which `write` continues and `end` completes. It is chunked if no framing is given. */
  startStream(status: number, headers: Record<string, string>, framing?: StreamFraming): void;
  write(chunk: string | Buffer): void;
  end(): void;
  /** Closes the connection, by a reset if the framing requires it, so that the caller sees an incomplete response. */
  abort(): void;
}

/** A response that the client received. */
export interface HttpResponse {
  readonly status: number;
  /** The headers by lower-case name. */
  readonly headers: Record<string, string>;
  readonly framing: BodyFraming;
  /** The chunks of the body; closed at its end. */
  readonly chunks: Chan<Buffer>;
  /** Returns how the body ended; valid once `chunks` is closed. */
  bodyEnd(): BodyEnd;
  abort(): void;
  /** Discards the rest of the body, so that the connection can be reused. */
  discardBody(): void;
}

/** A request that the client sends. */
export interface HttpRequest {
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  /** The maximum time until the headers of the response have arrived, in ms. */
  timeoutMs: number;
  /**
   * Identifies the request on connections. It isn't sent on one that has carried the same id before; a response to another
   * request is a fault "broken" with the step "check reply", and ends its connection.
   */
  correlation?: RequestCorrelation;
  /** Whether to open a connection for this request alone, so that "refused" guarantees that nothing was sent. */
  newConnection?: boolean;
  /** The environment sets `cancel`, which aborts the request, and the response if that has begun. */
  cancellation?: { cancel?: () => void };
  /** The time-out of a new connection in ms; if it expires, nothing was sent. */
  connectTimeoutMs?: number;
}
