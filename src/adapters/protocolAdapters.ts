import type { ControlNode } from "../control/controlNode";
import type { Task } from "../runtime/csp";
import type { HttpExchange } from "../runtime/env";
import type { HeaderNames } from "../forwarding/headerNames";
import type { DirectRequestHandler } from "../ingress/directRequestHandler";
import type { IngressNode } from "../ingress/ingressNode";

/** A further HTTP surface of a process, at an address of its own. */
export type HttpSurface = { address: string; serve: (incoming: HttpExchange) => Task<void> };
/**
 * What another outside shape brings: names of headers, and surfaces beside the product's own.
 *
 * @example
 * Daemon.start(env, settings, { names, ingress: (node) => [{ address: "10.0.0.5:80", serve: shape.serve(node) }] });
 */
export type ProtocolAdapters = {
  names?: HeaderNames;
  ingress?: (ingress: IngressNode, direct: DirectRequestHandler) => HttpSurface[];
  control?: (control: ControlNode) => HttpSurface[];
};
