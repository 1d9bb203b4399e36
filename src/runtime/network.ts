import { Chan } from "./csp";

/** A TCP connection that carries frames. Frames arrive complete and in order, or the connection ends. */
export interface Link {
  readonly remoteAddress: string;
  /** The received frames; closed when the connection has ended. */
  readonly incoming: Chan<Buffer>;
  /** Queues a frame; returns false if the connection has ended or its queue is full. */
  send(frame: Buffer): boolean;
  close(): void;
}

/** A UDP socket. */
export interface DatagramSocket {
  /** The received datagrams; datagrams are dropped while the channel is full. */
  readonly incoming: Chan<{ from: string; data: Buffer }>;
  send(to: string, data: Buffer): void;
}
