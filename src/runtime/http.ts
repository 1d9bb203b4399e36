import { Result } from "../common/fault";
import { Chan, Task } from "./csp";

/** Limits on what callers may send, and how long they may take. */
export interface HttpLimits {
  /** All headers of a request together, bytes. */
  readonly headerBytes: number;
  /** From the start of a request until its headers are complete, ms. */
  readonly headerMs: number;
  /** How long a connection may be idle, ms. */
  readonly idleMs: number;
}

/** A request that arrived at our server, and the response to it. */
export interface HttpExchange {
  readonly method: string;
  /** Without the query. */
  readonly path: string;
  /** Path and query as they came. */
  readonly target: string;
  readonly query: URLSearchParams;
  /** By lower-case name. */
  readonly headers: Record<string, string>;
  /** Address of the caller. */
  readonly callerAddress: string;
  /** Closed when the caller has disconnected. */
  readonly disconnected: Chan<true>;
  /** Called when the caller disconnects before the response is complete; set by whoever works for it. */
  onDisconnect?: () => void;
  /** The complete body; a fault if it is longer than `limit` bytes or the caller disconnects. */
  body(limit: number): Task<Result<Buffer>>;
  /** Sends a complete response. */
  send(status: number, headers: Record<string, string>, body: string | Buffer): void;
  /**
   * Sends a response whose end is that of the connection (RFC 9112, section 6.3): its length is not known for certain, so it
   * must not be framed as complete. Absent where there are no real connections.
   */
  sendUntilClose?(status: number, headers: Record<string, string>, body: Buffer): void;
  /** Starts a streamed response, which `write` continues and `end` completes. */
  startStream(status: number, headers: Record<string, string>): void;
  write(chunk: string | Buffer): void;
  end(): void;
  /** Cuts the connection, so that the caller can tell that the response is incomplete. */
  abort(): void;
}

/** A response that our client receives. */
export interface HttpResponse {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: Record<string, string>;
  /** The body; closed at its end. */
  readonly chunks: Chan<Buffer>;
  /** Whether the body is incomplete; known once `chunks` is closed. */
  isIncomplete(): boolean;
  abort(): void;
  /** Discards the rest of the body, so that the connection can be used again. */
  discardBody(): void;
}

/** A request that our client sends. */
export interface HttpRequest {
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string | Buffer;
  /** Until the headers of the response have arrived, ms. */
  timeoutMs: number;
  /** Uses a connection of its own, so that "refused" certainly means that nothing was sent. */
  newConnection?: boolean;
  /** The environment sets `cancel`: it ends the request, and the response too if that has begun. */
  cancellation?: { cancel?: () => void };
  /** A connection that takes longer is given up, and certainly nothing was sent, ms. */
  connectTimeoutMs?: number;
}
