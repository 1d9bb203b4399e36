import type * as net from "net";

/** How the peer ended a connection: in order, after all that it sent, or by a failure on which data may be missing. */
export type ConnectionEnd = "closed" | "reset";

const endBySocket = new WeakMap<net.Socket, ConnectionEnd>();

/**
 * Returns how a connection ended whose socket has just emitted "end". If a reset arrives together with the last data, libuv
 * reports the end of the stream and keeps the error to itself. An empty write sends nothing and brings the error out: EPIPE
 * if the peer closed the connection in order before the reset, otherwise ECONNRESET.
 */
function endOf(socket: net.Socket): ConnectionEnd {
  socket.write("");
  const error: NodeJS.ErrnoException | null = socket.errored;
  if (error) return error.code === "EPIPE" ? "closed" : "reset";
  // Behind data that is still to be sent, the empty write has not been tried; a connection that was reset has no peer.
  return socket.remoteAddress === undefined ? "reset" : "closed";
}

/**
 * Observes how peers end the connections of this process.
 *
 * @example
 * ConnectionEnds.observe(socket);
 * ConnectionEnds.of(socket) // "reset"
 */
export const ConnectionEnds = {
  /** Observes a socket. Its listeners come before those of the HTTP client, which destroys the socket at its end. */
  observe(socket: net.Socket): void {
    socket.prependOnceListener("end", () => endBySocket.set(socket, endOf(socket)));
    socket.prependOnceListener("error", () => {
      if (!endBySocket.has(socket)) endBySocket.set(socket, "reset");
    });
  },
  /** Returns how the peer ended the connection; undefined if it did not, as when this process closed it first. */
  of: (socket: net.Socket): ConnectionEnd | undefined => endBySocket.get(socket),
};
