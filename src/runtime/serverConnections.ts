import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";

/** The state of a connection to an HTTP server. */
export interface ServerConnection {
  /** The number of requests without a complete response. */
  pendingCount: number;
  /** The last request that began. */
  newest?: http.IncomingMessage;
  /** The time of the last response, in ms of `performance.now()`. */
  idleSince: number;
  /** Whether a request had invalid framing, after which further requests are ignored. */
  isRejected: boolean;
}

const newConnection = (): ServerConnection => ({
  pendingCount: 0,
  idleSince: performance.now(),
  isRejected: false,
});

/** The connections of an HTTP server, and those among them that are to be closed after a while. */
export class ServerConnections {
  private readonly states = new Map<net.Socket, ServerConnection>();
  private readonly lingering = new Set<net.Socket>();

  /** The number of connections that `closeAfterLinger` has not closed yet. */
  get lingeringCount(): number {
    return this.lingering.size;
  }
  add(socket: net.Socket): void {
    this.states.set(socket, newConnection());
    socket.on("close", () => {
      this.states.delete(socket);
      this.lingering.delete(socket);
    });
  }
  /** Returns the state of a connection; a new one if it has been closed. */
  of(socket: net.Socket): ServerConnection {
    return this.states.get(socket) ?? newConnection();
  }
  requestArrived(socket: net.Socket, request: http.IncomingMessage): void {
    const connection = this.of(socket);
    this.lingering.delete(socket);
    connection.pendingCount += 1;
    connection.newest = request;
  }
  /** Counts a response that has ended; returns whether none is pending now. */
  responseEnded(socket: net.Socket): boolean {
    const connection = this.of(socket);
    connection.pendingCount -= 1;
    connection.idleSince = performance.now();
    return connection.pendingCount === 0;
  }
  /**
   * Closes a kept connection on which nothing is in progress. Its caller may be sending the next request, so it has a
   * while to receive the rejection of that.
   */
  closeAfterLinger(socket: net.Socket): void {
    if (!socket.writable) return;
    this.lingering.add(socket);
    setTimeout(() => {
      if (this.lingering.delete(socket)) socket.end();
    }, Constants.drainLingerMs).unref();
  }
  /** Closes all connections on which no response is pending. */
  closeIdle(): void {
    for (const [socket, { pendingCount }] of this.states) if (pendingCount === 0) socket.end();
  }
}
