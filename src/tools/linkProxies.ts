import * as dgram from "dgram";
import * as net from "net";
import { EnvelopeCodec } from "../rpc/envelopeCodec";

export type Proxied = { name: string; cluster: string; address: string; bind: string };
type Flow = { from: string; to: string; source: net.Socket; target: net.Socket };
const parts = (address: string): { host: string; port: number } => ({
  host: address.slice(0, address.lastIndexOf(":")),
  port: +address.slice(address.lastIndexOf(":") + 1),
});

/**
 * Stands at the address that each process tells the others and passes on to where it listens, so that the link
 * between two processes can be cut in one direction or both. A developer's tool, on this machine only.
 *
 * @example
 * const proxies = new LinkProxies(plan.proxied);
 * await proxies.open();
 * proxies.cut("store-1", "store-2");
 * proxies.heal();
 */
export class LinkProxies {
  /** Whoever is no member: the ingresses. */
  static readonly stranger = "stranger";
  private readonly cuts = new Set<string>();
  private readonly nameOf = new Map<string, string>(); // member id → name, learned from its datagrams
  private readonly flows = new Set<Flow>();
  private readonly closers: (() => void)[] = [];
  dropped = 0;
  constructor(private readonly proxied: Proxied[]) {}

  /** @example await proxies.open(); */
  async open(): Promise<void> {
    const byAddress = new Map(this.proxied.map((each) => [each.address, each.name]));
    for (const each of this.proxied) {
      const socket = dgram.createSocket("udp4");
      const target = parts(each.bind);
      socket.on("message", (data) => {
        const envelope = EnvelopeCodec.decode(data, each.cluster);
        const from = (envelope?.body as { from?: { id: string; address: string } } | undefined)?.from;
        const name = from && byAddress.get(from.address);
        if (from && name) this.nameOf.set(from.id, name);
        if (name && this.cuts.has(`${name}>${each.name}`)) this.dropped += 1;
        else socket.send(data, target.port, target.host);
      });
      const server = net.createServer((incoming) => this.serve(incoming, each));
      await new Promise<void>((resolve, reject) => {
        socket.once("error", reject);
        server.once("error", reject);
        const own = parts(each.address);
        socket.bind(own.port, own.host, () => server.listen(own.port, own.host, resolve));
      });
      this.closers.push(
        () => socket.close(),
        () => server.close(),
      );
    }
  }
  private serve(incoming: net.Socket, to: Proxied): void {
    const outgoing = net.connect(parts(to.bind));
    let held = Buffer.alloc(0);
    const end = (): void => {
      incoming.destroy();
      outgoing.destroy();
      for (const flow of this.flows) if (flow.source === incoming || flow.target === incoming) this.flows.delete(flow);
    };
    for (const socket of [incoming, outgoing]) socket.on("error", end).on("close", end);
    // the first frame says who calls
    const first = (chunk: Buffer): void => {
      held = Buffer.concat([held, chunk]);
      if (held.length < 4 || held.length < 4 + held.readUInt32BE(0)) return;
      const sender = EnvelopeCodec.decode(held.subarray(4, 4 + held.readUInt32BE(0)), to.cluster)?.sender ?? "";
      incoming.off("data", first);
      const name = this.nameOf.get(sender) ?? LinkProxies.stranger;
      const up: Flow = { from: name, to: to.name, source: incoming, target: outgoing };
      const down: Flow = { from: to.name, to: name, source: outgoing, target: incoming };
      for (const flow of [up, down]) {
        this.flows.add(flow);
        flow.source.on("data", (data: Buffer) => {
          if (this.cuts.has(`${flow.from}>${flow.to}`)) this.dropped += 1;
          else flow.target.write(data);
        });
      }
      if (this.cuts.has(`${name}>${to.name}`)) this.dropped += 1;
      else outgoing.write(held);
    };
    incoming.on("data", first);
  }
  /** One way; what is under way on a connection is lost and the connection with it. @example proxies.cut("store-1", "control-2"); */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }
  /** Ends all cuts; connections that lost something are ended. @example proxies.heal(); */
  heal(): void {
    for (const flow of this.flows) if (this.cuts.has(`${flow.from}>${flow.to}`)) flow.source.destroy();
    this.cuts.clear();
  }
  /** @example proxies.close(); */
  close(): void {
    for (const close of this.closers) close();
    for (const flow of this.flows) flow.source.destroy();
  }
}
