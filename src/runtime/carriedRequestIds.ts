import type * as net from "net";

/**
 * The number of ids that are remembered of one connection. A second copy of a response takes the place of the next response
 * on its connection, so it can't follow after as many others.
 */
const MAX_IDS = 32;

/** The ids of the requests that a connection has carried last. */
export class CarriedRequestIds {
  private readonly ids: string[] = [];

  has(id: string): boolean {
    return this.ids.includes(id);
  }

  add(id: string): void {
    this.ids.push(id);
    if (this.ids.length > MAX_IDS) this.ids.shift();
  }
}

const idsBySocket = new WeakMap<net.Socket, CarriedRequestIds>();

/** Returns the ids that a connection has carried. */
export function carriedRequestIdsOf(socket: net.Socket): CarriedRequestIds {
  const existing = idsBySocket.get(socket);
  if (existing) return existing;
  const created = new CarriedRequestIds();
  idsBySocket.set(socket, created);
  return created;
}
