import { bodyEnd } from "../runtime/bodyEnd";
import { bodyFraming } from "../runtime/bodyFraming";
import type { ConnectionEnd } from "../runtime/connectionEnd";
import { Chan, Csp } from "../runtime/csp";
import { BodyFraming, HttpExchange, HttpRequest, HttpResponse } from "../runtime/env";
import { isResponseTo, OTHER_REQUEST_ANSWERED } from "../runtime/requestCorrelation";
import { Fault, Result } from "../common/fault";
import { sendLastResponse } from "../runtime/servingPhase";
import type { ResponseReceiver, SentResponse, SimConnection } from "./simConnections";
import type { PipeSend, SimNetwork } from "./simNetwork";
import type { SimProcess } from "./simProcess";

/** Maximum number of chunks of one response that are buffered at the client. */
const CHUNK_CAPACITY = 8192;

/** A request that has reached its server, with the actions that disconnect each end. */
export interface OpenExchange {
  client: SimProcess;
  server: SimProcess;
  /** Without the way in which the server ended the connection, the client ended it itself. */
  disconnectClient: (how?: ConnectionEnd) => void;
  disconnectServer: () => void;
  /** Answers the request if its response has not begun, since the server stops. */
  sendLastResponse: () => void;
}
type RequestState = "connecting" | "sent" | "responded" | "closed";

/** A request at its client. It is settled once, by a response, a fault or its time-out. */
export class ClientRequest {
  state: RequestState = "connecting";
  exchange: OpenExchange | undefined;
  /** Receives the response or the fault. */
  readonly outcome = Csp.chan<{ value: Result<HttpResponse> }>(1);
  constructor(readonly address: string) {}

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
    this.exchange?.disconnectServer();
  }
  cancel(): void {
    this.settle(Fault.fail("broken", "http request", this.address, "given up by whoever asked"));
    this.exchange?.disconnectClient();
    this.exchange?.disconnectServer();
  }
  rejectResponse(): void {
    const { step, detail } = OTHER_REQUEST_ANSWERED;
    this.settle(Fault.fail("broken", step, this.address, detail));
  }
  reset(): void {
    this.settle(Fault.fail("broken", "http request", this.address, "connection reset"));
  }
}

/** What an exchange needs of the simulated HTTP. */
export interface ExchangeHost {
  readonly network: SimNetwork;
  /** Exchanges whose responses have not ended. */
  readonly exchanges: Set<OpenExchange>;
  /** Called when the client has received a whole response on a connection that is kept. */
  connectionIsIdle(connection: SimConnection, response: SentResponse): void;
}

/** A request at its server, and its response. */
export class ServerExchange implements ResponseReceiver {
  private readonly chunks: Chan<Buffer> = Csp.chan<Buffer>(CHUNK_CAPACITY);
  /** Closed when the client has disconnected or the response has ended. */
  private readonly disconnected: Chan<true> = Csp.chan<true>(1);
  private readonly toClient: PipeSend;
  private readonly exchange: OpenExchange;
  readonly incoming: HttpExchange;
  private framing: BodyFraming = "none";
  /** As at the HTTP client of Node.js, which reports a message without other framing as ended also after a reset. */
  private sawMessageEnd = false;
  private connectionEnd: ConnectionEnd | undefined;
  /** The response that the client took for the one to its request. */
  private received: HttpResponse | undefined;
  /** The response as far as it was sent. */
  private sent: SentResponse | undefined;

  constructor(
    private readonly host: ExchangeHost,
    private readonly request: ClientRequest,
    client: SimProcess,
    server: SimProcess,
    private readonly outgoing: HttpRequest,
    private readonly connection: SimConnection | undefined,
  ) {
    if (connection) connection.current = this;
    this.toClient = host.network.pipe(server, client);
    this.exchange = {
      client,
      server,
      disconnectClient: (how) => {
        request.reset();
        this.connectionEnd ??= how;
        if (this.framing === "connection" && how !== undefined) this.sawMessageEnd = true;
        this.chunks.close();
      },
      disconnectServer: () =>
        host.network.send(client, server, () => {
          this.disconnected.close();
          this.incoming.onDisconnect?.();
          host.exchanges.delete(this.exchange);
        }),
      sendLastResponse: () => {
        if (!this.sent) sendLastResponse(this.incoming);
      },
    };
    this.incoming = this.createIncoming(client, outgoing);
    request.exchange = this.exchange;
    host.exchanges.add(this.exchange);
  }

  /** Receives the second copy of an earlier response on this connection, in the place of the response. */
  receiveSecondResponse(copy: SentResponse): void {
    if (this.request.state !== "sent") return;
    const chunks = Csp.chan<Buffer>(CHUNK_CAPACITY);
    for (const chunk of copy.chunks) Csp.offer(chunks, chunk);
    chunks.close();
    this.receive({ ...this.responseOf(copy, chunks), bodyEnd: () => "complete" });
  }

  private sendHead(status: number, headers: Record<string, string>, framing: BodyFraming): boolean {
    if (this.sent) return false;
    this.sent = { status, headers, framing, chunks: [] };
    this.framing = framing;
    const response = this.responseOf(this.sent, this.chunks);
    this.toClient(() => this.receive(response));
    return true;
  }
  private responseOf({ status, headers, framing }: SentResponse, chunks: Chan<Buffer>): HttpResponse {
    return {
      status,
      headers,
      framing,
      chunks,
      bodyEnd: () => bodyEnd(framing, this.sawMessageEnd, this.connectionEnd),
      discardBody: () => undefined,
      abort: () => {
        this.request.state = "closed";
        chunks.close();
        this.exchange.disconnectServer();
      },
    };
  }
  /** Takes a response at the client, and ends the connection if it is the response to another request. */
  private receive(response: HttpResponse): void {
    if (this.request.state !== "sent") return;
    const { correlation } = this.outgoing;
    if (!correlation || isResponseTo(correlation, response.headers)) {
      this.received = response;
      return this.request.settle(Fault.ok(response));
    }
    this.exchange.client.env.connectionEvents.unexpectedResponse(this.request.address, "otherRequest");
    this.request.rejectResponse();
    this.exchange.disconnectServer();
  }
  private sendChunk(chunk: string | Buffer): void {
    const data = Buffer.from(chunk as string);
    if (this.connection) this.sent?.chunks.push(data);
    this.toClient(() => void Csp.offer(this.chunks, data));
  }
  private sendEnd(): void {
    this.host.exchanges.delete(this.exchange);
    this.disconnected.close();
    this.toClient(() => {
      this.sawMessageEnd = true;
      if (this.framing === "connection") this.connectionEnd ??= "closed";
      this.chunks.close();
      this.keepConnection();
    });
  }
  /** Keeps the connection if its client took this response, whole, for the one to its request. */
  private keepConnection(): void {
    const isTaken = this.received?.chunks === this.chunks && this.request.state === "responded";
    if (this.connection && isTaken && this.framing !== "connection")
      this.host.connectionIsIdle(this.connection, this.sent!);
  }
  private sendBody(status: number, headers: Record<string, string>, framing: BodyFraming, body: string | Buffer): void {
    if (!this.sendHead(status, headers, framing)) return;
    this.sendChunk(body);
    this.sendEnd();
  }
  private createIncoming(client: SimProcess, outgoing: HttpRequest): HttpExchange {
    const url = new URL(outgoing.path, "http://host");
    return {
      method: outgoing.method,
      path: url.pathname,
      target: outgoing.path,
      query: url.searchParams,
      headers: outgoing.headers ?? {},
      callerAddress: client.name,
      disconnected: this.disconnected,
      *body(limit) {
        const data =
          typeof outgoing.body === "string" ? Buffer.from(outgoing.body, "utf8") : (outgoing.body ?? Buffer.alloc(0));
        return data.length > limit
          ? Fault.fail("invalid", "read body", "caller", "body over the limit")
          : Fault.ok(data);
      },
      send: (status, headers, body) => {
        const lengthHeader = { "content-length": String(Buffer.byteLength(body)) };
        this.sendBody(status, headers, bodyFraming(outgoing.method, status, lengthHeader), body);
      },
      sendUntilClose: (status, headers, body) => this.sendBody(status, headers, "connection", body),
      startStream: (status, headers, framing = "chunked") => void this.sendHead(status, headers, framing),
      write: (chunk) => this.sendChunk(chunk),
      end: () => this.sendEnd(),
      abort: () => {
        const how = this.framing === "connection" ? "reset" : "closed";
        this.toClient(() => this.exchange.disconnectClient(how));
      },
    };
  }
}
