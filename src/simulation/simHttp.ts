import { Chan, Csp } from "../runtime/csp";
import { Task } from "../runtime/csp";
import { HttpExchange, HttpRequest, HttpResponse } from "../runtime/env";
import { Fault, Result } from "../common/fault";
import { NetworkClock, PipeSend, SimNetwork } from "./simNetwork";
import type { SimProcess } from "./simProcess";

const CHUNK_CAPACITY = 8192; // chunks; of one response, buffered at the client

/** Serves the requests that come to one address. */
export type HttpHandler = (incoming: HttpExchange) => Task<void>;
interface Server {
  process: SimProcess;
  handler: HttpHandler;
}
/** A request that has reached its server, and how either end learns that the other has gone. */
interface OpenExchange {
  client: SimProcess;
  server: SimProcess;
  breakClient: () => void;
  breakServer: () => void;
}
type RequestState = "connecting" | "sent" | "responded" | "closed";

/** One request as its client sees it: settled once, by a response, a fault or its time-out. */
class ClientRequest {
  state: RequestState = "connecting";
  exchange: OpenExchange | undefined;
  /** The response, or why there is none. */
  readonly outcome = Csp.chan<{ value: Result<HttpResponse> }>(1);
  constructor(private readonly address: string) {}

  settle(result: Result<HttpResponse>): void {
    if (this.state === "responded" || this.state === "closed") return;
    this.state = result.ok ? "responded" : "closed";
    Csp.offer(this.outcome, { value: result });
  }
  refuse(): void {
    this.settle(Fault.fail("refused", "http request", this.address, "connection refused"));
  }
  timeOut(): void {
    if (this.state !== "connecting" && this.state !== "sent") return;
    const tag = this.state === "sent" ? "timeout" : "refused";
    this.settle(Fault.fail(tag, "http request", this.address, "no reply in time"));
    this.exchange?.breakServer();
  }
  cancel(): void {
    this.settle(Fault.fail("broken", "http request", this.address, "given up by whoever asked"));
    this.exchange?.breakClient();
    this.exchange?.breakServer();
  }
  reset(): void {
    this.settle(Fault.fail("broken", "http request", this.address, "connection reset"));
  }
}

/** One request at its server, with the response on its way to the client. */
class ServerExchange {
  private readonly chunks: Chan<Buffer> = Csp.chan<Buffer>(CHUNK_CAPACITY);
  private readonly gone: Chan<true> = Csp.chan<true>(1);
  private readonly toClient: PipeSend;
  private readonly open: OpenExchange;
  readonly incoming: HttpExchange;
  private complete = false;
  private headSent = false;

  constructor(
    private readonly http: SimHttp,
    private readonly request: ClientRequest,
    client: SimProcess,
    server: SimProcess,
    out: HttpRequest,
  ) {
    this.toClient = http.network.pipe(server, client);
    this.open = {
      client,
      server,
      breakClient: () => {
        request.reset();
        this.chunks.close();
      },
      breakServer: () =>
        http.network.send(client, server, () => {
          this.gone.close();
          this.incoming.onDisconnect?.();
          http.exchanges.delete(this.open);
        }),
    };
    this.incoming = this.exchangeOf(client, out);
    request.exchange = this.open;
    http.exchanges.add(this.open);
  }

  private sendHead(status: number, headers: Record<string, string>): boolean {
    if (this.headSent) return false;
    this.headSent = true;
    const response: HttpResponse = {
      status,
      headers,
      chunks: this.chunks,
      isIncomplete: () => !this.complete,
      discardBody: () => undefined,
      abort: () => {
        this.request.state = "closed";
        this.chunks.close();
        this.open.breakServer();
      },
    };
    this.toClient(() => this.request.settle(Fault.ok(response)));
    return true;
  }
  private sendChunk(chunk: string | Buffer): void {
    this.toClient(() => void Csp.offer(this.chunks, Buffer.from(chunk as string)));
  }
  private sendEnd(): void {
    this.http.exchanges.delete(this.open);
    this.gone.close();
    this.toClient(() => {
      this.complete = true;
      this.chunks.close();
    });
  }
  private exchangeOf(client: SimProcess, out: HttpRequest): HttpExchange {
    const url = new URL(out.path, "http://host");
    return {
      method: out.method,
      path: url.pathname,
      target: out.path,
      query: url.searchParams,
      headers: out.headers ?? {},
      callerAddress: client.name,
      disconnected: this.gone,
      *body(limit) {
        const data = typeof out.body === "string" ? Buffer.from(out.body, "utf8") : (out.body ?? Buffer.alloc(0));
        return data.length > limit
          ? Fault.fail("invalid", "read body", "caller", "body over the limit")
          : Fault.ok(data);
      },
      send: (status, headers, body) => {
        if (!this.sendHead(status, headers)) return;
        this.sendChunk(body);
        this.sendEnd();
      },
      startStream: (status, headers) => void this.sendHead(status, headers),
      write: (chunk) => this.sendChunk(chunk),
      end: () => this.sendEnd(),
      abort: () => this.toClient(() => this.open.breakClient()),
    };
  }
}

/**
 * HTTP between simulated processes: requests, streamed responses, and what either end sees when the other goes away.
 *
 * @example
 * http.serve(process, "10.0.0.1:80", handler);
 * const response = yield* http.request(client, "10.0.0.1:80", { method: "GET", path: "/", timeoutMs: 500 });
 */
export class SimHttp {
  private readonly servers = new Map<string, Server>();
  /** Requests at their servers whose responses have not ended. */
  readonly exchanges = new Set<OpenExchange>();

  constructor(
    private readonly clock: NetworkClock,
    readonly network: SimNetwork,
  ) {}

  /** False where the address is taken. @example http.serve(process, "10.0.0.1:80", handler) */
  serve(process: SimProcess, address: string, handler: HttpHandler): boolean {
    if (this.servers.has(address)) return false;
    this.servers.set(address, { process, handler });
    return true;
  }
  /** Takes no new request at any address of the process. @example http.stopServing(process); */
  stopServing(process: SimProcess): void {
    for (const [address, server] of this.servers) if (server.process === process) this.servers.delete(address);
  }
  /** Breaks every exchange of a process that has ended, at its other end. @example http.breakExchangesOf(process); */
  breakExchangesOf(process: SimProcess): void {
    for (const exchange of [...this.exchanges]) {
      const { client, server } = exchange;
      if (server === process) this.network.send(process, client, () => exchange.breakClient());
      if (client === process) this.network.send(process, server, () => exchange.breakServer());
      if (server === process || client === process) this.exchanges.delete(exchange);
    }
  }
  /** Sends a request; the fault says whether the server may have got it. @example yield* http.request(process, address, out) */
  *request(client: SimProcess, address: string, out: HttpRequest): Task<Result<HttpResponse>> {
    const request = new ClientRequest(address);
    this.clock.schedule(out.timeoutMs, () => client.deliver(() => request.timeOut()));
    if (out.cancellation) out.cancellation.cancel = () => request.cancel();
    const server = this.servers.get(address);
    this.clock.schedule(this.network.latency(), () => {
      if (!server?.process.alive) client.deliver(() => request.refuse());
      else this.arrive(request, client, server, out);
    });
    return (yield* Csp.take(request.outcome))!.value;
  }

  private arrive(request: ClientRequest, client: SimProcess, server: Server, out: HttpRequest): void {
    const reached = this.network.connected(client, server.process) && client.alive;
    if (!reached || request.state !== "connecting") return;
    request.state = "sent";
    const { incoming } = new ServerExchange(this, request, client, server.process, out);
    server.process.deliver(
      () => void Csp.go(server.process.scope, `${out.method} ${out.path}`, () => server.handler(incoming)),
    );
  }
}
