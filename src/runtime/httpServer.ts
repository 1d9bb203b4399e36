import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
import { Csp, Scope, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { parseAddress, awaitCallback } from "./callbacks";
import { HttpExchange, HttpLimits } from "./env";
import { NodeLibs } from "./nodeLibs";

type Handler = (incoming: HttpExchange) => Task<void>;
/** What is known of one connection: the requests that have no whole response yet, and since when it rests. */
type Connection = { underWay: number; newest?: http.IncomingMessage; restingSince: number; refused: boolean };

/** Limits where nobody sets others. */
export const defaultHttpLimits: HttpLimits = {
  headerBytes: Constants.headerLimitBytes,
  headerMs: Constants.headerLimitMs,
  idleMs: Constants.callerIdleMs,
};
const reasons: Record<number, string> = {
  400: "Bad Request",
  408: "Request Timeout",
  413: "Payload Too Large",
  431: "Request Header Fields Too Large",
};
const statusOfParseError = (code: string | undefined): number => {
  switch (code) {
    case "HPE_HEADER_OVERFLOW":
      return 431;
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return 413;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return 408;
    default:
      return 400;
  }
};
const headerBytes = (rawHeaders: string[]): number => {
  let size = 0;
  for (const part of rawHeaders) size += part.length;
  return size;
};
/** Path and query of a request's target, which may be a whole URL. */
function originForm(target: string): string {
  if (target.startsWith("/")) return target;
  const rest = /^https?:\/\/[^/?#]*(.*)$/i.exec(target)?.[1];
  if (rest === undefined) return target;
  return rest.startsWith("/") ? rest : `/${rest}`;
}

/**
 * An HTTP server on one address. Its limits are asked for anew, so that a change of configuration holds for open
 * connections too. What is wrong with a request's framing ends its connection before anything is passed on.
 *
 * @example
 * const server = new HttpServer(scope, handler, () => limits);
 * yield* server.listen("10.0.0.1:80");
 */
export class HttpServer {
  private readonly server: http.Server;
  private readonly connections = new WeakMap<net.Socket, Connection>();
  private applied: HttpLimits | undefined;
  private keepAlive = "";
  private closing = false;
  constructor(
    private readonly scope: Scope,
    private readonly handler: Handler,
    private readonly limits: () => HttpLimits = () => defaultHttpLimits,
  ) {
    this.server = NodeLibs.http().createServer(
      {
        maxHeaderSize: Constants.headerLimitMaxBytes,
        connectionsCheckingInterval: Constants.connectionCheckMs,
      },
      (request, response) => this.onRequest(request, response),
    );
    this.server.prependListener("connection", () => this.refreshLimits());
    this.server.on("timeout", (socket: net.Socket) => this.onTimeout(socket));
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) =>
      this.onClientError(error, socket),
    );
    this.refreshLimits();
  }

  /** @example yield* server.listen("10.0.0.1:80"); */
  *listen(address: string): Task<Result<true>> {
    const { server } = this;
    const { host, port } = parseAddress(address);
    const failed = yield* awaitCallback<Error | undefined>((done) => {
      server.once("error", done);
      server.listen(port, host, () => done(undefined));
    });
    if (failed) return Fault.fail("internal", "serve http", address, failed.message);
    this.scope.onStop(() => {
      server.close();
      server.closeAllConnections();
    });
    return Fault.ok(true as const);
  }
  /** No new connection, and each response ends its own. @example server.stopServing(); */
  stopServing(): void {
    this.closing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  // ---------- limits ----------
  private refreshLimits(): void {
    const limits = this.limits();
    if (limits === this.applied) return;
    this.applied = limits;
    this.server.headersTimeout = limits.headerMs;
    // never closed before its time: the margin covers a request that is on its way as the time ends
    this.server.keepAliveTimeout = limits.idleMs + Constants.idleMarginMs;
    const seconds = Math.floor(limits.idleMs / 1000);
    this.keepAlive = seconds > 0 ? `timeout=${seconds}` : "";
  }
  private connectionOf(socket: net.Socket): Connection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection: Connection = { underWay: 0, restingSince: performance.now(), refused: false };
    this.connections.set(socket, connection);
    return connection;
  }
  /** A connection rested for as long as the limits said when its last response ended; by now they may give it more time. */
  private onTimeout(socket: net.Socket): void {
    this.refreshLimits();
    const rested = performance.now() - this.connectionOf(socket).restingSince;
    const left = this.server.keepAliveTimeout - rested;
    if (left > 1) socket.setTimeout(left);
    else socket.destroy();
  }
  private onClientError(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const connection = this.connectionOf(socket);
    if (connection.refused) return;
    if (!socket.writable || error.code === "ECONNRESET") return void socket.destroy();
    // a new connection that has sent nothing rests: it has the idle time, not the time for a header
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT" && socket.bytesRead === 0)
      return void socket.setTimeout(Math.max(1, this.server.keepAliveTimeout - this.server.headersTimeout));
    connection.refused = true;
    const status = statusOfParseError(error.code);
    const newestIsBroken = connection.newest?.complete === false;
    // a response to an earlier request is still due on this connection: no other may come in its place
    if (connection.underWay > (newestIsBroken ? 1 : 0)) return void socket.destroy();
    socket.end(`HTTP/1.1 ${status} ${reasons[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    setTimeout(() => socket.destroy(), Constants.refusedLingerMs).unref();
  }

  // ---------- requests ----------
  private onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.refreshLimits();
    const { socket } = request;
    const connection = this.connectionOf(socket);
    if (connection.refused) return;
    connection.underWay += 1;
    connection.newest = request;
    const gone = Csp.chan<true>(1);
    const incoming = this.incoming(request, response, gone);
    const over = (): void => {
      gone.close();
      if (!response.writableFinished) incoming.onDisconnect?.();
    };
    response.on("close", () => {
      connection.underWay -= 1;
      connection.restingSince = performance.now();
      over();
    });
    response.on("error", over);
    if (headerBytes(request.rawHeaders) > this.applied!.headerBytes) return incoming.send(431, {}, "");
    const { handler } = this;
    Csp.go(this.scope, `${incoming.method} ${incoming.path}`, function* () {
      try {
        yield* handler(incoming);
      } catch (error) {
        // the caller must not wait for what nobody works on any more
        if (response.headersSent) response.destroy();
        else incoming.send(500, {}, "");
        throw error;
      }
    });
  }
  private incoming(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    gone: HttpExchange["disconnected"],
  ): HttpExchange & { onGone?: () => void } {
    const target = originForm(request.url ?? "/");
    const queryAt = target.indexOf("?");
    const begin = (status: number, headers: Record<string, string>): void => {
      if (this.closing) response.shouldKeepAlive = false;
      const resting = response.shouldKeepAlive && headers.connection === undefined && this.keepAlive !== "";
      response.writeHead(status, resting ? { ...headers, "keep-alive": this.keepAlive } : headers);
    };
    return {
      method: request.method ?? "GET",
      path: queryAt < 0 ? target : target.slice(0, queryAt),
      target,
      get query() {
        return new URLSearchParams(queryAt < 0 ? "" : target.slice(queryAt));
      },
      headers: request.headers as Record<string, string>,
      callerAddress: `${request.socket.remoteAddress}:${request.socket.remotePort}`,
      disconnected: gone,
      body: (limit) => bodyOf(request, limit),
      send(status, headers, body) {
        if (response.headersSent || response.destroyed) return;
        if (status === 413 || status === 431) response.shouldKeepAlive = false;
        const bodiless = request.method === "HEAD" || status === 204 || status === 304;
        begin(status, bodiless ? headers : { ...headers, "content-length": String(Buffer.byteLength(body)) });
        response.end(body);
      },
      sendUntilClose(status, headers, body) {
        if (response.headersSent || response.destroyed) return;
        response.shouldKeepAlive = false;
        response.useChunkedEncodingByDefault = false;
        begin(status, headers);
        response.end(body);
      },
      startStream(status, headers) {
        if (response.headersSent || response.destroyed) return;
        begin(status, headers);
        response.flushHeaders();
      },
      write: (chunk) => void (response.destroyed || response.write(chunk)),
      end: () => void (response.destroyed || response.end()),
      abort() {
        // without chunks a mere close would look like the end of the body
        if (request.httpVersion === "1.0") request.socket.resetAndDestroy();
        response.destroy();
      },
    };
  }
}

/** The whole body; one over the limit is read on for a while, so that its sender sees the refusal, and then given up. */
function* bodyOf(request: http.IncomingMessage, limit: number): Task<Result<Buffer>> {
  const overLimit = (): Result<Buffer> => Fault.fail("invalid", "read body", "caller", "body over the limit");
  const most = limit + Constants.bodyDrainBytes;
  if (Number(request.headers["content-length"]) > most) return overLimit();
  return yield* awaitCallback<Result<Buffer>>((done) => {
    let chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else chunks = [];
      if (size > most) done(overLimit());
    });
    request.on("end", () => done(size > limit ? overLimit() : Fault.ok(Buffer.concat(chunks))));
    request.on("close", () => done(Fault.fail("broken", "read body", "caller", "caller went away")));
  });
}
