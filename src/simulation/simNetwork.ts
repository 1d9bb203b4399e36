import { Chan, Csp } from "../runtime/csp";
import { Link } from "../runtime/env";
import type { SimProcess } from "./simProcess";

const MESSAGE_CAPACITY = 4096; // messages; buffered at each end of a link
const ORDERING_GAP_MS = 0.0001; // ms; between two messages of one pipe that would arrive at once
const SLOW_MESSAGE_SHARE = 0.002; // share of messages that take much longer than the others
const SLOW_MESSAGE_MS = 15; // ms; by which such a message is late, at most

/** The virtual clock and the seeded randomness that the network draws on. */
export interface NetworkClock {
  readonly now: number;
  random(): number;
  schedule(inMs: number, run: () => void): void;
}
/** Sends an action to the other end of a pipe; `bytes` is what it takes of both links' bandwidth. */
export type PipeSend = (run: () => void, bytes?: number) => void;
interface LinkPair {
  ends: [SimProcess, SimProcess];
  close: () => void;
  reset: () => void;
}

/**
 * The simulated network: latency, loss of datagrams, bandwidth, ordered connections and partitions between processes.
 *
 * @example
 * network.partition("control-1", "control-2");
 * network.heal();
 */
export class SimNetwork {
  /** Share of datagrams that are lost. */
  lossRate = 0.003;
  /** Least latency of a message and the width of its spread, in milliseconds. */
  latencyMs: [number, number] = [0.15, 1.2];
  /** Whether connections across a partition are refused at once, rather than left without a response. */
  partitionsReset = false;
  /** Messages delivered so far. */
  delivered = 0;
  private readonly linkPairs = new Set<LinkPair>();
  private readonly partitions = new Set<string>(); // "from>to", by process name

  constructor(private readonly clock: NetworkClock) {}

  /** Loses all that one process sends to another. @example network.partition("control-1", "control-2"); */
  partition(from: string, to: string): void {
    this.partitions.add(`${from}>${to}`);
  }
  /** Ends all partitions; connections that they broke stay broken. @example network.heal(); */
  heal(): void {
    this.partitions.clear();
  }
  /** Resets the connections that a partition crosses. @example network.resetPartitioned(); */
  resetPartitioned(): void {
    for (const pair of [...this.linkPairs]) if (!this.connected(...pair.ends)) pair.reset();
  }
  /** Closes every connection of a process. @example network.closeLinksOf(process); */
  closeLinksOf(process: SimProcess): void {
    for (const pair of [...this.linkPairs]) if (pair.ends.includes(process)) pair.close();
  }
  /** Whether messages from one process reach the other. @example network.reachable(client, server) */
  reachable(from: SimProcess, to: SimProcess): boolean {
    return !this.partitions.has(`${from.name}>${to.name}`);
  }
  /** Whether two processes reach each other both ways. @example network.connected(client, server) */
  connected(left: SimProcess, right: SimProcess): boolean {
    return this.reachable(left, right) && this.reachable(right, left);
  }
  /** The latency of the next message, in milliseconds. @example clock.at(network.latency(), run); */
  latency(): number {
    const usual = this.latencyMs[0] + this.clock.random() * this.latencyMs[1];
    return usual + (this.clock.random() < SLOW_MESSAGE_SHARE ? SLOW_MESSAGE_MS * this.clock.random() : 0);
  }
  /** Delivers one message that has no order with others. @example network.send(client, server, run); */
  send(from: SimProcess, to: SimProcess, run: () => void, inMs = this.latency()): void {
    if (!this.reachable(from, to)) return;
    this.clock.schedule(inMs, () => {
      if (!this.reachable(from, to)) return;
      this.delivered += 1;
      to.deliver(run);
    });
  }
  /** Messages from one process to another, in order; a partition loses them, and the pipe never recovers. @example const toServer = network.pipe(client, server); */
  pipe(from: SimProcess, to: SimProcess): PipeSend {
    let lastDueAt = 0;
    let broken = false;
    return (run, bytes = 0) => {
      if (!this.reachable(from, to)) broken = true;
      if (broken) return;
      const dueAt = Math.max(lastDueAt + ORDERING_GAP_MS, this.transferredAt(from, to, bytes) + this.latency());
      lastDueAt = dueAt;
      this.clock.schedule(dueAt - this.clock.now, () => {
        if (!this.reachable(from, to) || from.unsentLost) broken = true;
        if (broken) return;
        this.delivered += 1;
        to.deliver(run);
      });
    };
  }
  /** A connection of frames: the server accepts its end, the client's is returned. @example network.connect(client, server, accepted, address) */
  connect(client: SimProcess, server: SimProcess, accepted: Chan<Link>, address: string): Link {
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
    const linkEnd = (member: string, incoming: Chan<Buffer>, send: PipeSend, outgoing: Chan<Buffer>): Link => ({
      remoteAddress: member,
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
    server.deliver(() => void Csp.offer(accepted, linkEnd(client.name, atServer, toClient, atClient)));
    return linkEnd(address, atClient, toServer, atServer);
  }

  /** Virtual time at which so many bytes have passed the links of both ends. */
  private transferredAt(from: SimProcess, to: SimProcess, bytes: number): number {
    from.sendFreeAt = Math.max(this.clock.now, from.sendFreeAt) + bytes / from.linkBytesPerMs;
    to.receiveFreeAt = Math.max(from.sendFreeAt, to.receiveFreeAt) + bytes / to.linkBytesPerMs;
    return to.receiveFreeAt;
  }
}
