import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
import { Csp, Scope, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { parseAddress, awaitCallback } from "./callbacks";
import { HttpExchange, HttpLimits } from "./env";
import { NodeLibs } from "./nodeLibs";
import { readRequestBody } from "./requestBody";
import { ServerConnections } from "./serverConnections";
import { rejectStopping, sendLastResponse, ServingPhase } from "./servingPhase";
import { CutRequest, UnfinishedRequests } from "./unfinishedRequests";

type Handler = (exchange: HttpExchange) => Task<void>;
/** The limits of a server that is given no others. */
export const defaultHttpLimits: HttpLimits = {
  headerBytes: Constants.headerLimitBytes,
  headerMs: Constants.headerTimeoutMs,
  idleMs: Constants.callerIdleTimeoutMs,
};
const REASON_PHRASES: Record<number, string> = {
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
/** Returns the path and the query of a request's target, which may be an absolute URL. */
function originForm(target: string): string {
  if (target.startsWith("/")) return target;
  const rest = /^https?:\/\/[^/?#]*(.*)$/i.exec(target)?.[1];
  if (rest === undefined) return target;
  return rest.startsWith("/") ? rest : `/${rest}`;
}

/**
 * An HTTP server at one address. It reads its limits again for each request, so that a changed configuration applies to
 * open connections too. Invalid framing of a request ends its connection before the request is passed on.
 *
 * @example
 * const server = new HttpServer(scope, handler, () => limits);
 * yield* server.listen("10.0.0.1:80");
 */
export class HttpServer {
  private readonly server: http.Server;
  private readonly connections = new ServerConnections();
  /** Responses not sent to their end whose body only the end of the connection ends. */
  private readonly connectionFramed = new Set<http.ServerResponse>();
  private readonly unfinished = new UnfinishedRequests();
  private appliedLimits: HttpLimits | undefined;
  /** The value of the Keep-Alive header; empty if connections are not kept. */
  private keepAliveHeader = "";
  private phase: ServingPhase = "serving";
  constructor(
    private readonly scope: Scope,
    private readonly handler: Handler,
    private readonly limits: () => HttpLimits = () => defaultHttpLimits,
  ) {
    this.server = NodeLibs.http().createServer(
      {
        maxHeaderSize: Constants.headerLimitMaxBytes,
        connectionsCheckingInterval: Constants.headerCheckPeriodMs,
      },
      (request, response) => this.onRequest(request, response),
    );
    this.server.prependListener("connection", (socket: net.Socket) => {
      this.refreshLimits();
      this.connections.add(socket);
    });
    this.server.on("timeout", (socket: net.Socket) => this.onTimeout(socket));
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) =>
      this.onClientError(error, socket),
    );
    this.refreshLimits();
  }

  /** Listens at an address. Fault: "internal". */
  *listen(address: string): Task<Result<true>> {
    const { server } = this;
    const { host, port } = parseAddress(address);
    const failed = yield* awaitCallback<Error | undefined>((done) => {
      server.once("error", done);
      server.listen(port, host, () => done(undefined));
    });
    if (failed) return Fault.fail("internal", "serve http", address, failed.message);
    this.scope.onStop(() => {
      for (const response of this.connectionFramed) resetConnection(response);
      server.close();
      server.closeAllConnections();
    });
    return Fault.ok(true as const);
  }
  /** The number of requests without a whole response, and of connections on which another one may be in transit. */
  get unfinishedCount(): number {
    return this.unfinished.count + this.connections.lingeringCount;
  }
  /** The requests that would be cut if the process ended now. */
  cutNow(): CutRequest[] {
    return this.unfinished.cutNow();
  }

  // ---------- Shutdown ----------
  /** Enters a phase; see `ServingPhase`. */
  enter(phase: ServingPhase): void {
    this.phase = phase;
    if (phase === "draining") this.drain();
    if (phase === "closed") this.close();
  }
  private acceptsRequests(): boolean {
    return this.phase === "serving" || this.phase === "leaving";
  }
  private stopListening(): void {
    // The method of the HTTP server would also close connections whose response has not been sent to its end.
    if (this.server.listening) NodeLibs.net().Server.prototype.close.call(this.server);
  }
  private drain(): void {
    this.stopListening();
    // Node.js counts a connection as idle whose response has been ended and not been sent; requests on it are rejected.
    if (!this.unfinished.hasUnsentResponse()) this.server.closeIdleConnections();
  }
  /** Answers the requests without a response, and ends the connections on which nothing is left to send. */
  private close(): void {
    this.stopListening();
    for (const exchange of this.unfinished.withoutResponse()) sendLastResponse(exchange);
    this.connections.closeIdle();
  }

  // ---------- Limits ----------
  private refreshLimits(): void {
    const limits = this.limits();
    if (limits === this.appliedLimits) return;
    this.appliedLimits = limits;
    this.server.headersTimeout = limits.headerMs;
    // A connection is never closed before the announced time; the margin covers a request that is in flight at its end.
    this.server.keepAliveTimeout = limits.idleMs + Constants.idleCloseMarginMs;
    const seconds = Math.floor(limits.idleMs / 1000);
    this.keepAliveHeader = seconds > 0 ? `timeout=${seconds}` : "";
  }
  /** Closes an idle connection, unless the limits were raised since its last response and now allow it more time. */
  private onTimeout(socket: net.Socket): void {
    this.refreshLimits();
    const idleMs = performance.now() - this.connections.of(socket).idleSince;
    const leftMs = this.server.keepAliveTimeout - idleMs;
    if (leftMs > 1) socket.setTimeout(leftMs);
    else socket.destroy();
  }
  private onClientError(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const connection = this.connections.of(socket);
    if (connection.isRejected) return;
    if (!socket.writable || error.code === "ECONNRESET") return void socket.destroy();
    // A new connection without any data counts as idle: the idle time applies to it, not the time for the headers.
    if (error.code === "ERR_HTTP_REQUEST_TIMEOUT" && socket.bytesRead === 0)
      return void socket.setTimeout(Math.max(1, this.server.keepAliveTimeout - this.server.headersTimeout));
    connection.isRejected = true;
    const status = statusOfParseError(error.code);
    const isNewestIncomplete = connection.newest?.complete === false;
    // If an earlier request on the connection has no response yet, the caller would take this one for its response.
    if (connection.pendingCount > (isNewestIncomplete ? 1 : 0)) return void socket.destroy();
    socket.end(`HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    setTimeout(() => socket.destroy(), Constants.framingErrorLingerMs).unref();
  }

  // ---------- Requests ----------
  private onRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.refreshLimits();
    const { socket } = request;
    if (this.connections.of(socket).isRejected || this.phase === "closed") return;
    this.connections.requestArrived(socket, request);
    const disconnected = Csp.chan<true>(1);
    const exchange = this.makeExchange(request, response, disconnected);
    this.unfinished.add(exchange, response);
    const onEnd = (): void => {
      disconnected.close();
      if (!response.writableFinished) exchange.onDisconnect?.();
    };
    response.on("close", () => {
      this.connectionFramed.delete(response);
      this.unfinished.delete(response);
      const isIdle = this.connections.responseEnded(socket);
      if (isIdle && this.phase === "draining") this.connections.closeAfterLinger(socket);
      onEnd();
    });
    response.on("error", onEnd);
    if (headerBytes(request.rawHeaders) > this.appliedLimits!.headerBytes) return exchange.send(431, {}, "");
    if (!this.acceptsRequests()) return void this.rejectOnceRead(request, exchange);
    const { handler } = this;
    Csp.go(this.scope, `${exchange.method} ${exchange.path}`, function* () {
      try {
        yield* handler(exchange);
      } catch (error) {
        // Without a response, the caller would wait for a handler that has failed.
        if (response.headersSent) exchange.abort();
        else exchange.send(500, {}, "");
        throw error;
      }
    });
  }
  /** Rejects a request once its body has been read; its sender might not read a response before. */
  private rejectOnceRead(request: http.IncomingMessage, exchange: HttpExchange): void {
    request.on("end", () => rejectStopping(exchange));
    request.resume();
  }
  private makeExchange(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    disconnected: HttpExchange["disconnected"],
  ): HttpExchange & { onDisconnect?: () => void } {
    const target = originForm(request.url ?? "/");
    const queryStart = target.indexOf("?");
    const writeHead = (status: number, headers: Record<string, string>): void => {
      if (this.phase !== "serving") response.shouldKeepAlive = false;
      if (endsWithConnection) this.connectionFramed.add(response);
      const isKept = response.shouldKeepAlive && headers.connection === undefined && this.keepAliveHeader !== "";
      response.writeHead(status, isKept ? { ...headers, "keep-alive": this.keepAliveHeader } : headers);
    };
    // HTTP/1.0 has no chunked encoding.
    let endsWithConnection = request.httpVersion === "1.0";
    const frameByConnection = (): void => {
      endsWithConnection = true;
      response.shouldKeepAlive = false;
      response.useChunkedEncodingByDefault = false;
    };
    return {
      method: request.method ?? "GET",
      path: queryStart < 0 ? target : target.slice(0, queryStart),
      target,
      get query() {
        return new URLSearchParams(queryStart < 0 ? "" : target.slice(queryStart));
      },
      headers: request.headers as Record<string, string>,
      callerAddress: `${request.socket.remoteAddress}:${request.socket.remotePort}`,
      disconnected,
      body: (limit) => readRequestBody(request, limit, () => this.acceptsRequests()),
      send(status, headers, body) {
        if (response.headersSent || response.destroyed) return;
        if (status === 413 || status === 431) response.shouldKeepAlive = false;
        const isBodyless = request.method === "HEAD" || status === 204 || status === 304;
        writeHead(status, isBodyless ? headers : { ...headers, "content-length": String(Buffer.byteLength(body)) });
        response.end(body);
      },
      sendUntilClose(status, headers, body) {
        if (response.headersSent || response.destroyed) return;
        frameByConnection();
        writeHead(status, headers);
        response.end(body);
      },
      startStream(status, headers, framing = "chunked") {
        if (response.headersSent || response.destroyed) return;
        if (framing === "connection") frameByConnection();
        writeHead(status, headers);
        response.flushHeaders();
      },
      write: (chunk) => void (response.destroyed || response.write(chunk)),
      end: () => void (response.destroyed || response.end()),
      abort() {
        if (endsWithConnection) resetConnection(response);
        else response.destroy();
      },
    };
  }
}

/** Closes a connection whose ordinary end would look like the end of the body. */
function resetConnection(response: http.ServerResponse): void {
  response.socket?.resetAndDestroy();
  response.destroy();
}
