import type * as http from "http";
import type * as net from "net";
import { bodyEnd } from "./bodyEnd";
import { bodyFraming } from "./bodyFraming";
import { carriedRequestIdsOf } from "./carriedRequestIds";
import { ConnectionEnds } from "./connectionEnd";
import type { ConnectionEvents } from "./connectionEvents";
import { Csp, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { parseAddress, forwardToChannel, streamScope, awaitCallback } from "./callbacks";
import { HttpRequest, HttpResponse } from "./env";
import { ConnectionOptions, createKeepAliveAgent } from "./keepAliveAgent";
import { NodeLibs } from "./nodeLibs";
import { isResponseTo, OTHER_REQUEST_ANSWERED } from "./requestCorrelation";

function responseOf(method: string, response: http.IncomingMessage): HttpResponse {
  const { socket } = response;
  const status = response.statusCode ?? 0;
  const headers = response.headers as Record<string, string>;
  const framing = bodyFraming(method, status, headers);
  const chunks = Csp.chan<Buffer>(64);
  let sawMessageEnd = false;
  const put = forwardToChannel(response, chunks);
  response.on("data", put);
  response.on("end", () => {
    sawMessageEnd = true;
    Csp.go(streamScope, "end", function* () {
      chunks.close();
    });
  });
  response.on("close", () => chunks.close());
  response.on("error", () => undefined);
  return {
    status,
    headers,
    framing,
    chunks,
    bodyEnd: () => bodyEnd(framing, sawMessageEnd, ConnectionEnds.of(socket)),
    abort: () => void response.destroy(),
    discardBody: () => {
      response.removeListener("data", put);
      response.resume();
    },
  };
}
function headersOf(options: HttpRequest): Record<string, string | number> {
  if (options.body === undefined) return { ...options.headers };
  const type: Record<string, string> = typeof options.body === "string" ? { "content-type": "application/json" } : {};
  return { ...options.headers, ...type, "content-length": Buffer.byteLength(options.body) };
}

/**
 * Notes that a connection carries an id; returns false if it has carried it before. That can only be if the request had to wait
 * for a connection, since the agent has chosen among those that were idle.
 */
function claimConnection(socket: net.Socket, id: string): boolean {
  const carried = carriedRequestIdsOf(socket);
  if (carried.has(id)) return false;
  carried.add(id);
  return true;
}

/**
 * Sends HTTP requests over persistent connections. The tag of a fault tells whether the request may have been sent:
 * "refused" means that no connection was made.
 *
 * @example
 * const client = new HttpClient(env.connectionEvents);
 * const response = yield* client.request("10.0.0.2:80", { method: "GET", path: "/", timeoutMs: 500 });
 */
export class HttpClient {
  private agent: http.Agent | undefined;
  constructor(private readonly events: ConnectionEvents) {}

  *request(address: string, options: HttpRequest): Task<Result<HttpResponse>> {
    const { host, port } = parseAddress(address);
    const { correlation } = options;
    return yield* awaitCallback<Result<HttpResponse>>((done) => {
      let sent = false;
      const requestOptions: ConnectionOptions = {
        host,
        port,
        agent: options.newConnection ? false : this.keepAliveAgent(),
        method: options.method,
        path: options.path,
        headers: headersOf(options),
        correlationId: correlation?.id,
      };
      const request = NodeLibs.http().request(requestOptions);
      const fail = (detail: string): void =>
        done(Fault.fail(sent ? "broken" : "refused", "http request", address, detail));
      const timer = setTimeout(() => {
        done(Fault.fail(sent ? "timeout" : "refused", "http request", address, "no reply in time"));
        request.destroy();
      }, options.timeoutMs);
      if (options.cancellation)
        options.cancellation.cancel = () => {
          clearTimeout(timer);
          fail("given up by whoever asked");
          request.destroy();
        };
      request.on("socket", (socket) => {
        if (correlation && !claimConnection(socket, correlation.id)) {
          this.events.repeatedId(address);
          request.destroy(new Error("the connection has carried the id"));
          return;
        }
        if (!socket.connecting) {
          sent = true;
          return;
        }
        ConnectionEnds.observe(socket);
        const connectTimer =
          options.connectTimeoutMs === undefined
            ? undefined
            : setTimeout(() => request.destroy(new Error("no connection in time")), options.connectTimeoutMs);
        socket.once("connect", () => {
          sent = true;
          this.events.opened();
          clearTimeout(connectTimer);
        });
        socket.once("close", () => clearTimeout(connectTimer));
      });
      request.on("error", (error) => {
        clearTimeout(timer);
        fail(error.message);
      });
      // A request can also end without an error, such as after an unrequested protocol upgrade. Only the first outcome
      // counts.
      request.on("close", () => {
        clearTimeout(timer);
        fail("connection ended without a reply");
      });
      request.on("response", (response) => {
        clearTimeout(timer);
        if (correlation && !isResponseTo(correlation, response.headers)) {
          // The response to this request may still follow, so the connection can't be used again.
          request.destroy();
          this.events.unexpectedResponse(address, "otherRequest");
          done(Fault.fail("broken", OTHER_REQUEST_ANSWERED.step, address, OTHER_REQUEST_ANSWERED.detail));
          return;
        }
        done(Fault.ok(responseOf(options.method, response)));
      });
      request.end(options.body);
    });
  }

  /** Node.js modules that hold handles are loaded on first use only. */
  private keepAliveAgent(): http.Agent {
    return (this.agent ??= createKeepAliveAgent(this.events));
  }
}
