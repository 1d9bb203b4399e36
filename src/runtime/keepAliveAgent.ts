import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
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

/**
 * Creates an agent that keeps connections to endpoints for reuse. It closes an idle connection well before the endpoint does,
 * so that no request is sent meanwhile, and one on which data arrives that no request asked for.
 */
export function createKeepAliveAgent(events: ConnectionEvents): http.Agent {
  const idleDataListeners = new WeakMap<net.Socket, () => void>();
  class KeepAliveAgent extends NodeLibs.http().Agent {
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
    maxSockets: MAX_CONNECTIONS_PER_ENDPOINT,
    maxFreeSockets: MAX_IDLE_CONNECTIONS_PER_ENDPOINT,
  });
}
