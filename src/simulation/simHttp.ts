import { Csp, Task } from "../runtime/csp";
import { HttpExchange, HttpRequest, HttpResponse } from "../runtime/env";
import { Result } from "../common/fault";
import { rejectStopping, ServingPhase } from "../runtime/servingPhase";
import { SecondResponseMoment, SentResponse, SimConnection, SimConnections } from "./simConnections";
import { ClientRequest, ExchangeHost, OpenExchange, ServerExchange } from "./simExchange";
import { NetworkClock, SimNetwork } from "./simNetwork";
import type { SimProcess } from "./simProcess";

/** Longest time from a request to the second copy of the response before it, or from a response to its second copy, ms. */
const SECOND_RESPONSE_DELAY_MS = 20;

/** Handles the requests at one address. */
export type HttpHandler = (incoming: HttpExchange) => Task<void>;
interface Server {
  process: SimProcess;
  handler: HttpHandler;
}
/**
 * HTTP between simulated processes: requests, streamed responses and disconnections.
 *
 * @example
 * http.serve(process, "10.0.0.1:80", handler);
 * const response = yield* http.request(client, "10.0.0.1:80", { method: "GET", path: "/", timeoutMs: 500 });
 */
export class SimHttp implements ExchangeHost {
  private readonly servers = new Map<string, Server>();
  /** Exchanges whose responses have not ended. */
  readonly exchanges = new Set<OpenExchange>();
  /** Decides which whole responses of a server arrive a second time on their connection, and when. */
  secondResponseMoment: (server: SimProcess) => SecondResponseMoment | undefined = () => undefined;
  private readonly connections = new SimConnections();
  private readonly phases = new WeakMap<SimProcess, ServingPhase>();

  constructor(
    private readonly clock: NetworkClock,
    readonly network: SimNetwork,
  ) {}

  /** Serves an address; returns false if it is already in use. */
  serve(process: SimProcess, address: string, handler: HttpHandler): boolean {
    if (this.servers.has(address)) return false;
    this.servers.set(address, { process, handler });
    return true;
  }
  /** Sets what a process does with requests. Those on connections that were opened before reach it until it is closed. */
  enterServingPhase(process: SimProcess, phase: ServingPhase): void {
    this.phases.set(process, phase);
    if (phase === "draining" || phase === "closed") this.stopListening(process);
    if (phase !== "closed") return;
    for (const exchange of [...this.exchanges]) if (exchange.server === process) exchange.sendLastResponse();
  }
  /** The number of requests that have reached a process and whose responses have not ended. */
  unfinishedRequests(process: SimProcess): number {
    return [...this.exchanges].filter((exchange) => exchange.server === process).length;
  }
  /** Frees all addresses of a process. Requests that have reached it continue. */
  stopListening(process: SimProcess): void {
    for (const [address, server] of this.servers) if (server.process === process) this.servers.delete(address);
  }
  /** Disconnects the other end of every exchange of a process that has ended. */
  disconnectExchangesOf(process: SimProcess): void {
    for (const exchange of [...this.exchanges]) {
      const { client, server } = exchange;
      if (server === process) this.network.send(process, client, () => exchange.disconnectClient("reset"));
      if (client === process) this.network.send(process, server, () => exchange.disconnectServer());
      if (server === process || client === process) this.exchanges.delete(exchange);
    }
  }
  /** Sends a request. Faults: "refused" if it did not reach the server, "timeout" and "broken" if it may have. */
  *request(client: SimProcess, address: string, outgoing: HttpRequest): Task<Result<HttpResponse>> {
    const request = new ClientRequest(address);
    this.clock.schedule(outgoing.timeoutMs, () => client.deliver(() => request.timeOut()));
    if (outgoing.cancellation) outgoing.cancellation.cancel = () => request.cancel();
    const server = this.servers.get(address);
    this.clock.schedule(this.network.latency(), () => {
      if (!server?.process.alive) client.deliver(() => request.refuse());
      else this.arrive(request, client, server, outgoing);
    });
    return (yield* Csp.take(request.outcome))!.value;
  }

  private arrive(request: ClientRequest, client: SimProcess, server: Server, outgoing: HttpRequest): void {
    const isReachable = this.network.connected(client, server.process) && client.alive;
    if (!isReachable || request.state !== "connecting") return;
    request.state = "sent";
    const { correlation, newConnection } = outgoing;
    const connection =
      correlation && !newConnection
        ? this.connections.take(client, server.process, request.address, correlation.id)
        : undefined;
    const phase = this.phases.get(server.process) ?? "serving";
    if (phase === "closed") return client.deliver(() => request.refuse());
    const { incoming } = new ServerExchange(this, request, client, server.process, outgoing, connection);
    if (connection) this.requestArrived(connection);
    if (phase === "draining") return rejectStopping(incoming);
    server.process.deliver(
      () => void Csp.go(server.process.scope, `${outgoing.method} ${outgoing.path}`, () => server.handler(incoming)),
    );
  }

  /** Keeps a connection whose response has arrived whole, and decides whether the response is sent again. */
  connectionIsIdle(connection: SimConnection, response: SentResponse): void {
    const moment = this.secondResponseMoment(connection.server);
    connection.secondResponse = moment && { moment, response };
    this.connections.keep(connection);
    if (moment === "whileIdle") this.sendSecondResponse(connection, this.clock.random() * SECOND_RESPONSE_DELAY_MS);
  }
  private requestArrived(connection: SimConnection): void {
    const moment = connection.secondResponse?.moment;
    if (moment === "withNextRequest") this.sendSecondResponse(connection, 0);
    if (moment === "whileNextRequestRuns")
      this.sendSecondResponse(connection, this.clock.random() * SECOND_RESPONSE_DELAY_MS);
  }
  private sendSecondResponse(connection: SimConnection, delayMs: number): void {
    const { client, server, secondResponse } = connection;
    this.network.send(server, client, () => this.secondResponseArrives(connection, secondResponse!.response), delayMs);
    connection.secondResponse = undefined;
  }
  private secondResponseArrives(connection: SimConnection, response: SentResponse): void {
    if (connection.current) return connection.current.receiveSecondResponse(response);
    connection.client.env.connectionEvents.unexpectedResponse(connection.address, "idleConnection");
    this.connections.close(connection);
  }
}
