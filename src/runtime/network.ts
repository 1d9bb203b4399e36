import { Chan } from "./csp";

/** One TCP connection that carries frames: each arrives in full, in order, or the connection ends. */
export interface Link {
  /** Address of the other end. */
  readonly remoteAddress: string;
  /** Frames that arrive; closed when the connection has ended. */
  readonly incoming: Chan<Buffer>;
  /** Queues a frame; false if the connection is down or its queue is full. */
  send(frame: Buffer): boolean;
  close(): void;
}

/** A UDP socket. */
export interface DatagramSocket {
  readonly incoming: Chan<{ from: string; data: Buffer }>;
  send(to: string, data: Buffer): void;
}
