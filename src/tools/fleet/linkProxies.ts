import * as dgram from "dgram";
import * as net from "net";
import { EnvelopeCodec } from "../../rpc/envelopeCodec";

/** Size of the length field that precedes each frame, in bytes. */
const FRAME_HEADER_BYTES = 4;

/** A process with a proxy at its announced address. */
export interface ProxiedProcess {
  name: string;
  cluster: string;
  /** Address that the process announces and the proxy listens on, `IP:port`. */
  address: string;
  /** Address that the process itself listens on, `IP:port`. */
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

/** Returns the first frame of a connection from the bytes received so far; undefined until it is complete. */
function firstFrame(received: Buffer): Buffer | undefined {
  if (received.length < FRAME_HEADER_BYTES) return undefined;
  const end = FRAME_HEADER_BYTES + received.readUInt32BE(0);
  return received.length < end ? undefined : received.subarray(FRAME_HEADER_BYTES, end);
}

/**
 * Runs proxies at the announced addresses of the processes. They forward datagrams and connections to the addresses that
 * the processes listen on, unless the link is cut in that direction. This is a developer tool for one machine.
 *
 * @example
 * const proxies = new LinkProxies(plan.proxied);
 * await proxies.open();
 * proxies.cut("store-1", "store-2");
 * proxies.heal();
 */
export class LinkProxies {
  /** Name for every sender that is not a member of the cluster, such as the ingresses. */
  static readonly nonMember = "non-member";
  private readonly cuts = new Set<string>();
  /** Process names by member id, learned from the datagrams of the members. */
  private readonly nameById = new Map<string, string>();
  private readonly flows = new Set<Flow>();
  private readonly closers: (() => void)[] = [];

  constructor(private readonly processes: ProxiedProcess[]) {}

  /** Opens a datagram socket and a server for each process; rejects if an address is in use. */
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
  /** Cuts one direction of a link: datagrams, and bytes sent on its connections, are lost. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }
  /** Ends all cuts and closes the connections that may have lost bytes. */
  heal(): void {
    for (const flow of this.flows) if (this.isCut(flow.from, flow.to)) flow.source.destroy();
    this.cuts.clear();
  }
  /** Closes all sockets. */
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
    if (from && name) this.nameById.set(from.id, name);
    if (name && this.isCut(name, to.name)) return;
    const target = splitAddress(to.bind);
    socket.send(data, target.port, target.host);
  }
  private forwardConnection(incoming: net.Socket, to: ProxiedProcess): void {
    const outgoing = net.connect(splitAddress(to.bind));
    const closeBoth = (): void => {
      incoming.destroy();
      outgoing.destroy();
      for (const flow of this.flows) if (flow.source === incoming || flow.target === incoming) this.flows.delete(flow);
    };
    for (const socket of [incoming, outgoing]) socket.on("error", closeBoth).on("close", closeBoth);
    // Only the first frame of a connection names the sender.
    let received = Buffer.alloc(0);
    const readFirstFrame = (chunk: Buffer): void => {
      received = Buffer.concat([received, chunk]);
      const frame = firstFrame(received);
      if (!frame) return;
      incoming.off("data", readFirstFrame);
      const sender = EnvelopeCodec.decode(frame, to.cluster)?.sender ?? "";
      const from = this.nameById.get(sender) ?? LinkProxies.nonMember;
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
