import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
import { carriedRequestIdsOf } from "./carriedRequestIds";
import type { ConnectionEvents } from "./connectionEvents";
import { NodeLibs } from "./nodeLibs";

const MAX_CONNECTIONS_PER_ENDPOINT = 512;
const MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 24;

/** Returns for how long an idle connection is kept, in ms: at most half of the time-out that the endpoint announces. */
function idleTimeoutMs(response: http.IncomingMessage | undefined): number {
  const announcedSeconds = /timeout=(\d+)/.exec(String(response?.headers["keep-alive"] ?? ""))?.[1];
  if (announcedSeconds === undefined) return Constants.endpointConnectionIdleMs;
  return Math.min(Constants.endpointConnectionIdleMs, +announcedSeconds * 500);
}

/** The options of a request that the agent looks at. */
export interface ConnectionOptions extends http.RequestOptions {
  /** The request isn't sent on a connection that has carried this id before. */
  correlationId?: string;
}

/** What the agent of Node.js has besides its published types: the assignment of a connection, and writable idle connections. */
interface AgentInternals {
  freeSockets: Record<string, net.Socket[] | undefined>;
  addRequest(request: http.ClientRequest, options: ConnectionOptions): void;
}

/**
 * Creates an agent that keeps connections to endpoints for reuse. It closes an idle connection well before the endpoint does,
 * so that no request is sent meanwhile, and one on which data arrives that no request asked for. A request with a correlation
 * id gets a connection that hasn't carried the id: another idle one, or a new one. The others stay open, so that an endpoint
 * has at most as many more connections of this process as a request has attempts.
 */
export function createKeepAliveAgent(events: ConnectionEvents): http.Agent {
  const idleDataListeners = new WeakMap<net.Socket, () => void>();
  const { Agent } = NodeLibs.http();
  const base = Agent.prototype as unknown as AgentInternals;
  class KeepAliveAgent extends Agent {
    /** Node.js calls this for each request. */
    addRequest(request: http.ClientRequest, options: ConnectionOptions): void {
      const agent = this as unknown as AgentInternals;
      const { correlationId } = options;
      const hasCarried = (socket: net.Socket): boolean =>
        correlationId !== undefined && carriedRequestIdsOf(socket).has(correlationId);
      const name = this.getName(options);
      const idle = agent.freeSockets[name] ?? [];
      const next = idle.at(-1);
      if (next === undefined || !hasCarried(next)) return base.addRequest.call(this, request, options);
      events.repeatedId(`${options.host}:${options.port}`);
      agent.freeSockets[name] = idle.filter((socket) => !hasCarried(socket));
      base.addRequest.call(this, request, options);
      agent.freeSockets[name] = [...idle.filter(hasCarried), ...(agent.freeSockets[name] ?? [])];
    }
    keepSocketAlive(socket: net.Socket & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
      const idleMs = idleTimeoutMs(socket._httpMessage?.res);
      if (idleMs <= 0) return false;
      socket.setKeepAlive(true, 1000);
      socket.unref();
      socket.setTimeout(idleMs);
      const destroy = (): void => {
        events.unexpectedResponse(`${socket.remoteAddress}:${socket.remotePort}`, "idleConnection");
        socket.destroy();
      };
      idleDataListeners.set(socket, destroy);
      socket.once("data", destroy);
      return true;
    }
    reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
      socket.setTimeout(0);
      socket.removeListener("data", idleDataListeners.get(socket)!);
      super.reuseSocket(socket, request);
    }
  }
  return new KeepAliveAgent({
    keepAlive: true,
    // The agent takes the idle connection that was used last; `addRequest` relies on it.
    scheduling: "lifo",
    maxSockets: MAX_CONNECTIONS_PER_ENDPOINT,
    maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
  });
}
