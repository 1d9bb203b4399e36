import { Chan, Csp } from "../runtime/csp";
import { Link } from "../runtime/env";
import type { SimProcess } from "./simProcess";

/** Maximum number of messages buffered at each end of a link. */
const MESSAGE_CAPACITY = 4096;
/** Minimum time between two messages of one pipe, which keeps their order. */
const ORDERING_GAP_MS = 0.0001;
/** Share of messages that are slow. */
const SLOW_MESSAGE_SHARE = 0.002;
/** Longest additional latency of a slow message. */
const SLOW_MESSAGE_MS = 15;

/** The virtual clock and the seeded random numbers that the network uses. */
export interface NetworkClock {
  readonly now: number;
  /** From 0 to less than 1. */
  random(): number;
  /** Runs an action after a delay. */
  schedule(delayMs: number, run: () => void): void;
}
/** Runs an action at the other end of a pipe, like a message of `bytes` that uses the bandwidth of both processes' links. */
export type PipeSend = (run: () => void, bytes?: number) => void;
interface LinkPair {
  ends: [SimProcess, SimProcess];
  close: () => void;
  reset: () => void;
}

/** The simulated network between processes: latency, bandwidth, loss of datagrams, ordered connections and partitions. */
export class SimNetwork {
  /** Share of datagrams that are lost. */
  lossRate = 0.003;
  /** Latency of a message in ms: minimum, and maximum of the random part. */
  latencyMs: [number, number] = [0.15, 1.2];
  /** Whether a connection attempt across a partition is reset at once. Otherwise it gets no response. */
  partitionsReset = false;
  /** Number of messages delivered. */
  delivered = 0;
  private readonly linkPairs = new Set<LinkPair>();
  /** The partitioned directions as "from>to", by process name. */
  private readonly partitions = new Set<string>();

  constructor(private readonly clock: NetworkClock) {}

  /** Drops all messages from one process to another. The opposite direction is unaffected. */
  partition(from: string, to: string): void {
    this.partitions.add(`${from}>${to}`);
  }
  /** Ends all partitions. Connections that they broke stay broken. */
  heal(): void {
    this.partitions.clear();
  }
  /** Resets the connections across a partition. */
  resetPartitioned(): void {
    for (const pair of [...this.linkPairs]) if (!this.connected(...pair.ends)) pair.reset();
  }
  /** Closes all connections of a process. */
  closeLinksOf(process: SimProcess): void {
    for (const pair of [...this.linkPairs]) if (pair.ends.includes(process)) pair.close();
  }
  /** Whether messages from one process reach the other. */
  reachable(from: SimProcess, to: SimProcess): boolean {
    return !this.partitions.has(`${from.name}>${to.name}`);
  }
  /** Whether two processes reach each other in both directions. */
  connected(left: SimProcess, right: SimProcess): boolean {
    return this.reachable(left, right) && this.reachable(right, left);
  }
  /** Draws the latency of a message, in ms. */
  latency(): number {
    const usualMs = this.latencyMs[0] + this.clock.random() * this.latencyMs[1];
    return usualMs + (this.clock.random() < SLOW_MESSAGE_SHARE ? SLOW_MESSAGE_MS * this.clock.random() : 0);
  }
  /** Delivers a message, in no defined order with other messages. */
  send(from: SimProcess, to: SimProcess, run: () => void, delayMs = this.latency()): void {
    if (!this.reachable(from, to)) return;
    this.clock.schedule(delayMs, () => {
      if (!this.reachable(from, to)) return;
      this.delivered += 1;
      to.deliver(run);
    });
  }
  /** Creates an ordered pipe from one process to another. Once it loses a message to a partition, it delivers no more. */
  pipe(from: SimProcess, to: SimProcess): PipeSend {
    let lastDueAt = 0;
    let isBroken = false;
    return (run, bytes = 0) => {
      if (!this.reachable(from, to)) isBroken = true;
      if (isBroken) return;
      const dueAt = Math.max(lastDueAt + ORDERING_GAP_MS, this.reserveBandwidth(from, to, bytes) + this.latency());
      lastDueAt = dueAt;
      this.clock.schedule(dueAt - this.clock.now, () => {
        if (!this.reachable(from, to) || from.unsentMessagesLost) isBroken = true;
        if (isBroken) return;
        this.delivered += 1;
        to.deliver(run);
      });
    };
  }
  /** Opens a connection. The server's end goes to `acceptedLinks`; the client's end is returned. */
  connect(client: SimProcess, server: SimProcess, acceptedLinks: Chan<Link>, address: string): Link {
    const toServer = this.pipe(client, server);
    const toClient = this.pipe(server, client);
    const atServer = Csp.chan<Buffer>(MESSAGE_CAPACITY);
    const atClient = Csp.chan<Buffer>(MESSAGE_CAPACITY);
    const pair: LinkPair = {
      ends: [client, server],
      close: () => {
        this.linkPairs.delete(pair);
        toServer(() => atServer.close());
        toClient(() => atClient.close());
        if (!client.alive) atClient.close();
        if (!server.alive) atServer.close();
      },
      reset: () => {
        this.linkPairs.delete(pair);
        client.deliver(() => atClient.close());
        server.deliver(() => atServer.close());
      },
    };
    this.linkPairs.add(pair);
    const linkEnd = (remoteAddress: string, incoming: Chan<Buffer>, send: PipeSend, outgoing: Chan<Buffer>): Link => ({
      remoteAddress,
      incoming,
      send: (frame) => {
        if (incoming.isClosed()) return false;
        send(() => void Csp.offer(outgoing, frame), frame.length);
        return true;
      },
      close: () => {
        incoming.close();
        pair.close();
      },
    });
    server.deliver(() => void Csp.offer(acceptedLinks, linkEnd(client.name, atServer, toClient, atClient)));
    return linkEnd(address, atClient, toServer, atServer);
  }

  /** Reserves time on the links of both processes; returns the virtual time at which the bytes have been received. */
  private reserveBandwidth(from: SimProcess, to: SimProcess, bytes: number): number {
    from.sendFreeAt = Math.max(this.clock.now, from.sendFreeAt) + bytes / from.linkBytesPerMs;
    to.receiveFreeAt = Math.max(from.sendFreeAt, to.receiveFreeAt) + bytes / to.linkBytesPerMs;
    return to.receiveFreeAt;
  }
}
