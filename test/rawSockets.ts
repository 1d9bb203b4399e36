import * as net from "net";
import { Csp, Scope, Task } from "../src/runtime/csp";
import { Environment, HttpExchange, HttpLimits } from "../src/runtime/env";
import { NodeEnvironment } from "../src/runtime/nodeEnvironment";

/** A client that writes raw bytes and collects the received ones. */
export class RawClient {
  /** All received bytes, as Latin-1 text. */
  text = "";
  closed = false;
  private readonly socket: net.Socket;
  private wakeCallbacks: (() => void)[] = [];
  constructor(port: number) {
    this.socket = net.connect(port, "127.0.0.1");
    this.socket.on("data", (chunk: Buffer) => {
      this.text += chunk.toString("latin1");
      this.wake();
    });
    this.socket.on("error", () => undefined);
    this.socket.on("close", () => {
      this.closed = true;
      this.wake();
    });
  }
  private wake(): void {
    for (const callback of this.wakeCallbacks.splice(0)) callback();
  }
  write(text: string): this {
    this.socket.write(text, "latin1");
    return this;
  }
  /** Closes the sending side of the connection. */
  endWriting(): void {
    this.socket.end();
  }
  /** Closes the connection at once. */
  destroy(): void {
    this.socket.destroy();
  }
  /** Resolves with the received text once it satisfies a condition or the connection has ended. */
  async until(matches: (text: string) => boolean): Promise<string> {
    while (!matches(this.text) && !this.closed) await new Promise<void>((done) => this.wakeCallbacks.push(done));
    return this.text;
  }
  /** Resolves with the received text once the connection has ended. */
  untilClosed = (): Promise<string> => this.until(() => this.closed);
}

/** The servers of a test on local sockets, and the environment that runs them. */
export class SocketTestBed {
  readonly errors: string[] = [];
  readonly scope = new Scope("raw", (task, error) => this.errors.push(`${task}: ${String(error)}`));
  readonly env: Environment = NodeEnvironment.make("raw", this.scope, () => undefined);
  private readonly servers: net.Server[] = [];
  private readonly sockets = new Set<net.Socket>();

  static freePort(): Promise<number> {
    return new Promise((done) => {
      const server = net.createServer().listen(0, "127.0.0.1", () => {
        const { port } = server.address() as net.AddressInfo;
        server.close(() => done(port));
      });
    });
  }
  /** Runs a task and resolves with its result. */
  run<T>(body: () => Task<T>): Promise<T> {
    return new Promise((done) => {
      Csp.go(this.scope, "run", function* () {
        done(yield* body());
      });
    });
  }
  /** Starts an HTTP server; resolves with its port. */
  async serve(handler: (exchange: HttpExchange) => Task<void>, limits?: () => HttpLimits): Promise<number> {
    const port = await SocketTestBed.freePort();
    const served = await this.run(() => this.env.serveHttp(`127.0.0.1:${port}`, handler, limits));
    if (!served.ok) throw new Error(served.fault.detail);
    return port;
  }
  /** Starts a TCP server that passes each socket, with its sequence number, to `onConnection`; resolves with its port. */
  listen(onConnection: (socket: net.Socket, sequence: number) => void, port = 0): Promise<number> {
    return new Promise((done) => {
      let connectionCount = 0;
      const server = net
        .createServer((socket) => {
          this.sockets.add(socket);
          socket.on("error", () => undefined);
          socket.on("close", () => this.sockets.delete(socket));
          onConnection(socket, (connectionCount += 1));
        })
        .listen(port, "127.0.0.1", () => done((server.address() as net.AddressInfo).port));
      this.servers.push(server);
    });
  }
  close(): void {
    this.scope.stop();
    for (const socket of this.sockets) socket.destroy();
    for (const server of this.servers) server.close();
  }
}
