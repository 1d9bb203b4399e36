import * as net from "net";
import { Csp, Scope, Task } from "../src/runtime/csp";
import { Environment, HttpExchange, HttpLimits } from "../src/runtime/env";
import { NodeEnvironment } from "../src/runtime/nodeEnvironment";

/** A client that writes bytes as they are and keeps what comes. */
export class RawClient {
  text = "";
  closed = false;
  private readonly socket: net.Socket;
  private waiting: (() => void)[] = [];
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
    for (const each of this.waiting.splice(0)) each();
  }
  write(text: string): this {
    this.socket.write(text, "latin1");
    return this;
  }
  /** Has nothing more to say. */
  endWriting(): void {
    this.socket.end();
  }
  /** Goes away without a word. */
  destroy(): void {
    this.socket.destroy();
  }
  /** Resolves once what has come fits, or the connection has ended. */
  async until(fits: (text: string) => boolean): Promise<string> {
    while (!fits(this.text) && !this.closed) await new Promise<void>((done) => this.waiting.push(done));
    return this.text;
  }
  /** Resolves with all that came once the connection has ended. */
  untilClosed = (): Promise<string> => this.until(() => this.closed);
}

/** Processes of one test on sockets of this machine; closed at its end. */
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
  run<T>(body: () => Task<T>): Promise<T> {
    return new Promise((done) => {
      Csp.go(this.scope, "run", function* () {
        done(yield* body());
      });
    });
  }
  async serve(handler: (incoming: HttpExchange) => Task<void>, limits?: () => HttpLimits): Promise<number> {
    const port = await SocketTestBed.freePort();
    const served = await this.run(() => this.env.serveHttp(`127.0.0.1:${port}`, handler, limits));
    if (!served.ok) throw new Error(served.fault.detail);
    return port;
  }
  /** A server that writes what it likes: called for each connection with its number. */
  listen(connected: (socket: net.Socket, connection: number) => void, port = 0): Promise<number> {
    return new Promise((done) => {
      let connections = 0;
      const server = net
        .createServer((socket) => {
          this.sockets.add(socket);
          socket.on("error", () => undefined);
          socket.on("close", () => this.sockets.delete(socket));
          connected(socket, (connections += 1));
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
