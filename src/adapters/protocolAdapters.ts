import type { HeaderNames } from "../forwarding/headerNames";
import type { NodeContext } from "../node/nodeContext";
import type { Task } from "../runtime/csp";
import type { HttpExchange } from "../runtime/env";
import type { CallerOperations } from "./caller/callerOperations";

/** A further HTTP surface of a process, at an address of its own. */
export interface HttpListener {
  /** HOST:PORT to listen on. */
  address: string;
  serve: (exchange: HttpExchange) => Task<void>;
}

/**
 * What another protocol adds to the processes: names of headers, and surfaces beside the product's own.
 *
 * @example
 * Daemon.start(env, settings, {
 *   names,
 *   ingress: (operations) => [{ address: "10.0.0.5:80", serve: (exchange) => operations.directRequests.serve(exchange) }],
 * });
 */
export interface ProtocolAdapters {
  /** The header names between callers, ingress and endpoints; the product's own by default. */
  names?: HeaderNames;
  /** Surfaces of an ingress. */
  ingress?: (operations: CallerOperations) => HttpListener[];
  /** Surfaces of a control node. */
  control?: (context: NodeContext) => HttpListener[];
}
