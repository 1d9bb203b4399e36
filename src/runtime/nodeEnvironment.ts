import type * as net from "net";
import { Constants } from "../common/constants";
import { ConnectionEvents } from "./connectionEvents";
import { Csp, Scope } from "./csp";
import { Fault, Result } from "../common/fault";
import { DurableDisk } from "./durableDisk";
import { NodeDisk } from "./nodeDisk";
import { NodeLibs } from "./nodeLibs";
import { parseAddress, forwardToChannel, awaitCallback } from "./callbacks";
import { DatagramSocket, Environment, Link } from "./env";
import { HttpClient } from "./httpClient";
import { HttpServer } from "./httpServer";

/** Maximum number of cut requests that are logged one by one. */
const CUT_REQUESTS_LOGGED = 20;

function logCutRequests(servers: HttpServer[], log: Environment["log"]): void {
  const requests = servers.flatMap((server) => server.cutNow());
  if (requests.length > 0) log(1009, { count: requests.length, requests: requests.slice(0, CUT_REQUESTS_LOGGED) });
}

function makeLink(socket: net.Socket, remoteAddress: string): Link {
  const incoming = Csp.chan<Buffer>(64);
  const put = forwardToChannel(socket, incoming);
  // The bytes received after the last complete frame; each frame is preceded by its length as a 32-bit integer.
  let received: Buffer = Buffer.alloc(0);
  let isClosed = false;
  const close = (): void => {
    if (isClosed) return;
    isClosed = true;
    socket.destroy();
    incoming.close();
  };
  socket.setNoDelay(true);
  socket.on("data", (chunk: Buffer) => {
    received = received.length === 0 ? chunk : Buffer.concat([received, chunk]);
    while (received.length >= 4) {
      const size = received.readUInt32BE(0);
      if (size > Constants.messageMaxBytes) return close();
      if (received.length < 4 + size) break;
      put(Buffer.from(received.subarray(4, 4 + size)));
      received = received.subarray(4 + size);
    }
  });
  socket.on("error", close);
  socket.on("close", close);
  return {
    remoteAddress,
    incoming,
    send(frame) {
      if (isClosed || socket.writableLength > Constants.messageMaxBytes) return false;
      const header = Buffer.alloc(4);
      header.writeUInt32BE(frame.length, 0);
      socket.cork();
      socket.write(header);
      socket.write(frame);
      socket.uncork();
      return true;
    },
    close,
  };
}

/**
 * The production environment, which uses the clocks, sockets and files of the machine.
 *
 * @example
 * const env = NodeEnvironment.make("store-1", scope, Logger.make("store-1", "info"));
 */
export const NodeEnvironment = {
  make(name: string, scope: Scope, log: Environment["log"]): Environment {
    const timers = new Set<NodeJS.Timeout>();
    const servers: HttpServer[] = [];
    const monotonicMs = (): number => performance.now();
    const connectionEvents = new ConnectionEvents({ log, monotonicMs });
    const httpClient = new HttpClient(connectionEvents);
    scope.onStop(() => timers.forEach((handle) => clearTimeout(handle)));
    scope.onStop(() => logCutRequests(servers, log));
    return {
      name,
      scope,
      disk: new DurableDisk(NodeDisk.steps(name)),
      wallClockMs: () => Date.now(),
      monotonicMs,
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
          if (!Csp.offer(links, makeLink(socket, `${socket.remoteAddress}:${socket.remotePort}`))) socket.destroy();
        });
        const { host, port } = parseAddress(address);
        const listenError = yield* awaitCallback<Error | undefined>((done) => {
          server.once("error", done);
          server.listen(port, host, () => done(undefined));
        });
        if (listenError) return Fault.fail("internal", "listen", address, listenError.message);
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
            done(Fault.ok(makeLink(socket, address)));
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
        const bindError = yield* awaitCallback<Error | undefined>((done) => {
          socket.once("error", done);
          socket.bind(port, host, () => done(undefined));
        });
        if (bindError) return Fault.fail("internal", "bind", address, bindError.message);
        socket.on("error", (error) => log(1004, { task: "datagrams", error: error.message }));
        scope.onStop(() => socket.close());
        const datagramSocket: DatagramSocket = {
          incoming,
          send: (to, data) => {
            const target = parseAddress(to);
            socket.send(data, target.port, target.host, () => undefined);
          },
        };
        return Fault.ok(datagramSocket);
      },
      *serveHttp(address, handler, limits) {
        const server = new HttpServer(scope, handler, limits);
        servers.push(server);
        return yield* server.listen(address);
      },
      enterServingPhase: (phase) => servers.forEach((server) => server.enter(phase)),
      unfinishedRequests: () => servers.reduce((sum, server) => sum + server.unfinishedCount, 0),
      connectionEvents,
      httpRequest: (address, request) => httpClient.request(address, request),
      faultPoint: () => undefined,
      log,
    };
  },
};
