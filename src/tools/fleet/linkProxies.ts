import * as dgram from "dgram";
import * as net from "net";
import { EnvelopeCodec } from "../../rpc/envelopeCodec";

/** Bytes of a frame's length field, before the frame itself. */
const FRAME_HEADER_BYTES = 4;

/** A process whose announced address is taken by a proxy. */
export interface ProxiedProcess {
  name: string;
  cluster: string;
  /** Address that the other processes know, `IP:port`: the proxy listens there. */
  address: string;
  /** Address that the process listens on, `IP:port`. */
  bind: string;
}
/** One direction of a proxied connection. */
interface Flow {
  from: string;
  to: string;
  source: net.Socket;
  target: net.Socket;
}

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** The first frame of a connection, from the bytes received so far; undefined until it is complete. */
function firstFrame(received: Buffer): Buffer | undefined {
  if (received.length < FRAME_HEADER_BYTES) return undefined;
  const end = FRAME_HEADER_BYTES + received.readUInt32BE(0);
  return received.length < end ? undefined : received.subarray(FRAME_HEADER_BYTES, end);
}

/**
 * Proxies at the addresses that the processes announce; they forward to where the processes listen, so that the link
 * between two processes can be cut in one direction or both. A developer's tool, on this machine only.
 *
 * @example
 * const proxies = new LinkProxies(plan.proxied);
 * await proxies.open();
 * proxies.cut("store-1", "store-2");
 * proxies.heal();
 */
export class LinkProxies {
  /** Name of all senders that are no members of the cluster: the ingresses. */
  static readonly nonMember = "non-member";
  private readonly cuts = new Set<string>();
  /** Process names by member id, learned from the members' datagrams. */
  private readonly nameOf = new Map<string, string>();
  private readonly flows = new Set<Flow>();
  private readonly closers: (() => void)[] = [];

  constructor(private readonly processes: ProxiedProcess[]) {}

  /** Opens a datagram socket and a server for each process; rejects where an address is taken. @example await proxies.open(); */
  async open(): Promise<void> {
    const nameByAddress = new Map(this.processes.map(({ address, name }) => [address, name]));
    for (const process of this.processes) {
      const socket = dgram.createSocket("udp4");
      socket.on("message", (data) => this.forwardDatagram(socket, data, process, nameByAddress));
      const server = net.createServer((incoming) => this.forwardConnection(incoming, process));
      await new Promise<void>((resolve, reject) => {
        socket.once("error", reject);
        server.once("error", reject);
        const { host, port } = splitAddress(process.address);
        socket.bind(port, host, () => server.listen(port, host, resolve));
      });
      this.closers.push(
        () => socket.close(),
        () => server.close(),
      );
    }
  }
  /** Cuts one direction of a link; bytes in flight on its connections are lost. @example proxies.cut("store-1", "control-2"); */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }
  /** Ends all cuts, and the connections that may have lost bytes. @example proxies.heal(); */
  heal(): void {
    for (const flow of this.flows) if (this.isCut(flow.from, flow.to)) flow.source.destroy();
    this.cuts.clear();
  }
  /** Closes all sockets. @example proxies.close(); */
  close(): void {
    for (const close of this.closers) close();
    for (const flow of this.flows) flow.source.destroy();
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }
  private forwardDatagram(
    socket: dgram.Socket,
    data: Buffer,
    to: ProxiedProcess,
    nameByAddress: ReadonlyMap<string, string>,
  ): void {
    const envelope = EnvelopeCodec.decode(data, to.cluster);
    const from = (envelope?.body as { from?: { id: string; address: string } } | undefined)?.from;
    const name = from && nameByAddress.get(from.address);
    if (from && name) this.nameOf.set(from.id, name);
    if (name && this.isCut(name, to.name)) return;
    const target = splitAddress(to.bind);
    socket.send(data, target.port, target.host);
  }
  private forwardConnection(incoming: net.Socket, to: ProxiedProcess): void {
    const outgoing = net.connect(splitAddress(to.bind));
    const end = (): void => {
      incoming.destroy();
      outgoing.destroy();
      for (const flow of this.flows) if (flow.source === incoming || flow.target === incoming) this.flows.delete(flow);
    };
    for (const socket of [incoming, outgoing]) socket.on("error", end).on("close", end);
    // Only the first frame names the sender.
    let received = Buffer.alloc(0);
    const readFirstFrame = (chunk: Buffer): void => {
      received = Buffer.concat([received, chunk]);
      const frame = firstFrame(received);
      if (!frame) return;
      incoming.off("data", readFirstFrame);
      const sender = EnvelopeCodec.decode(frame, to.cluster)?.sender ?? "";
      const from = this.nameOf.get(sender) ?? LinkProxies.nonMember;
      this.addFlow({ from, to: to.name, source: incoming, target: outgoing });
      this.addFlow({ from: to.name, to: from, source: outgoing, target: incoming });
      if (!this.isCut(from, to.name)) outgoing.write(received);
    };
    incoming.on("data", readFirstFrame);
  }
  private addFlow(flow: Flow): void {
    this.flows.add(flow);
    flow.source.on("data", (data: Buffer) => {
      if (!this.isCut(flow.from, flow.to)) flow.target.write(data);
    });
  }
}
