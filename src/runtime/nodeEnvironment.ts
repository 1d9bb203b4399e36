import type * as net from "net";
import { Constants } from "../common/constants";
import { Csp, Scope } from "./csp";
import { Fault, Result } from "../common/fault";
import { DurableDisk } from "./durableDisk";
import { NodeDisk } from "./nodeDisk";
import { NodeLibs } from "./nodeLibs";
import { parseAddress, forwardToChannel, awaitCallback } from "./callbacks";
import { DatagramSocket, Environment, Link } from "./env";
import { HttpClient } from "./httpClient";
import { HttpServer } from "./httpServer";

function linkOf(socket: net.Socket, member: string): Link {
  const incoming = Csp.chan<Buffer>(64);
  const put = forwardToChannel(socket, incoming);
  let held: Buffer = Buffer.alloc(0);
  let closed = false;
  const close = (): void => {
    if (closed) return;
    closed = true;
    socket.destroy();
    incoming.close();
  };
  socket.setNoDelay(true);
  socket.on("data", (chunk: Buffer) => {
    held = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
    while (held.length >= 4) {
      const size = held.readUInt32BE(0);
      if (size > Constants.frameLimitBytes) return close();
      if (held.length < 4 + size) break;
      put(Buffer.from(held.subarray(4, 4 + size)));
      held = held.subarray(4 + size);
    }
  });
  socket.on("error", close);
  socket.on("close", close);
  return {
    remoteAddress: member,
    incoming,
    send(frame) {
      if (closed || socket.writableLength > Constants.frameLimitBytes) return false;
      const head = Buffer.alloc(4);
      head.writeUInt32BE(frame.length, 0);
      socket.cork();
      socket.write(head);
      socket.write(frame);
      socket.uncork();
      return true;
    },
    close,
  };
}

/**
 * The environment of production: Node's clocks, sockets and files.
 *
 * @example
 * const env = NodeEnvironment.make("store-1", scope, Logger.make("store-1", "info"));
 */
export const NodeEnvironment = {
  make(name: string, scope: Scope, log: Environment["log"]): Environment {
    const timers = new Set<NodeJS.Timeout>();
    const servers: HttpServer[] = [];
    scope.onStop(() => timers.forEach((handle) => clearTimeout(handle)));
    return {
      name,
      scope,
      disk: new DurableDisk(NodeDisk.steps(name)),
      wallClockMs: () => Date.now(),
      monotonicMs: () => performance.now(),
      random: () => NodeLibs.crypto().randomBytes(6).readUIntBE(0, 6) / 2 ** 48,
      timer(ms) {
        const chan = Csp.closeSignal();
        const handle = setTimeout(
          () => {
            timers.delete(handle);
            chan.close();
          },
          Math.max(0, ms),
        );
        timers.add(handle);
        const cancel = (): void => {
          timers.delete(handle);
          clearTimeout(handle);
        };
        return { chan, cancel };
      },
      *listen(address) {
        const links = Csp.chan<Link>(256);
        const server = NodeLibs.net().createServer((socket) => {
          if (!Csp.offer(links, linkOf(socket, `${socket.remoteAddress}:${socket.remotePort}`))) socket.destroy();
        });
        const { host, port } = parseAddress(address);
        const failed = yield* awaitCallback<Error | undefined>((done) => {
          server.once("error", done);
          server.listen(port, host, () => done(undefined));
        });
        if (failed) return Fault.fail("internal", "listen", address, failed.message);
        scope.onStop(() => server.close());
        return Fault.ok(links);
      },
      *connect(address, timeoutMs) {
        return yield* awaitCallback<Result<Link>>((done) => {
          const socket = NodeLibs.net().connect(parseAddress(address));
          const timer = setTimeout(() => {
            socket.destroy();
            done(Fault.fail("refused", "connect", address, "no connection in time"));
          }, timeoutMs);
          socket.once("error", (error) => {
            clearTimeout(timer);
            done(Fault.fail("refused", "connect", address, error.message));
          });
          socket.once("connect", () => {
            clearTimeout(timer);
            socket.removeAllListeners("error");
            done(Fault.ok(linkOf(socket, address)));
          });
        });
      },
      *bindDatagrams(address) {
        const { host, port } = parseAddress(address);
        const socket = NodeLibs.dgram().createSocket("udp4");
        const incoming = Csp.chan<{ from: string; data: Buffer }>(512);
        socket.on(
          "message",
          (data, sender) => void Csp.offer(incoming, { from: `${sender.address}:${sender.port}`, data }),
        );
        const failed = yield* awaitCallback<Error | undefined>((done) => {
          socket.once("error", done);
          socket.bind(port, host, () => done(undefined));
        });
        if (failed) return Fault.fail("internal", "bind", address, failed.message);
        socket.on("error", (error) => log(1004, { task: "datagrams", error: error.message }));
        scope.onStop(() => socket.close());
        const out: DatagramSocket = {
          incoming,
          send: (to, data) => {
            const target = parseAddress(to);
            socket.send(data, target.port, target.host, () => undefined);
          },
        };
        return Fault.ok(out);
      },
      *serveHttp(address, handler, limits) {
        const server = new HttpServer(scope, handler, limits);
        servers.push(server);
        return yield* server.listen(address);
      },
      stopServing: () => servers.forEach((server) => server.stopServing()),
      httpRequest: HttpClient.request,
      faultPoint: () => undefined,
      log,
    };
  },
};
