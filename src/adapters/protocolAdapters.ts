import type { HeaderNames } from "../forwarding/headerNames";
import type { NodeContext } from "../node/nodeContext";
import type { Task } from "../runtime/csp";
import type { HttpExchange } from "../runtime/env";
import type { CallerOperations } from "./caller/callerOperations";

/** An HTTP API that a process serves at an address of its own. */
export interface HttpListener {
  /** The HOST:PORT to listen at. */
  address: string;
  serve: (exchange: HttpExchange) => Task<void>;
}

/**
 * What a process does for another protocol: the header names that it uses, and the HTTP APIs that it serves in addition
 * to its own.
 *
 * @example
 * Daemon.start(env, settings, {
 *   names,
 *   ingress: (operations) => [{ address: "10.0.0.5:80", serve: (exchange) => operations.directRequests.serve(exchange) }],
 * });
 */
export interface ProtocolAdapters {
  /** The names of the headers between callers, ingress and endpoints; has a default. */
  names?: HeaderNames;
  /** Returns the additional listeners of an ingress. */
  ingress?: (operations: CallerOperations) => HttpListener[];
  /** Returns the additional listeners of a control process. */
  control?: (context: NodeContext) => HttpListener[];
}
