import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
import { bodyEnd } from "./bodyEnd";
import { bodyFraming } from "./bodyFraming";
import { ConnectionEnds } from "./connectionEnd";
import { Csp, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { parseAddress, forwardToChannel, streamScope, awaitCallback } from "./callbacks";
import { HttpRequest, HttpResponse } from "./env";
import { NodeLibs } from "./nodeLibs";

let sharedAgent: http.Agent | undefined;
/**
 * Returns the agent that keeps connections to endpoints for reuse. It keeps an idle connection for at most half of the
 * keep-alive time-out that the endpoint announces, so that no request is sent while the endpoint closes the connection.
 */
function keepAliveAgent(): http.Agent {
  const idleDataListeners = new WeakMap<net.Socket, () => void>();
  class KeepAliveAgent extends NodeLibs.http().Agent {
    keepSocketAlive(socket: net.Socket & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
      const announcedSeconds = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers["keep-alive"] ?? ""))?.[1];
      const idleMs =
        announcedSeconds === undefined
          ? Constants.endpointConnectionIdleMs
          : Math.min(Constants.endpointConnectionIdleMs, +announcedSeconds * 500);
      if (idleMs <= 0) return false;
      socket.setKeepAlive(true, 1000);
      socket.unref();
      socket.setTimeout(idleMs);
      // Data on an idle connection belongs to no request, so the connection must not be reused.
      const destroy = (): void => void socket.destroy();
      idleDataListeners.set(socket, destroy);
      socket.once("data", destroy);
      return true;
    }
    reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
      socket.setTimeout(0);
      socket.removeListener("data", idleDataListeners.get(socket)!);
      super.reuseSocket(socket, request);
    }
  }
  return (sharedAgent ??= new KeepAliveAgent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 24 }));
}

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
 * Sends HTTP requests over persistent connections. The tag of a fault tells whether the request may have been sent:
 * "refused" means that no connection was made.
 *
 * @example
 * const response = yield* HttpClient.request("10.0.0.2:80", { method: "GET", path: "/", timeoutMs: 500 });
 */
export const HttpClient = {
  *request(address: string, options: HttpRequest): Task<Result<HttpResponse>> {
    const { host, port } = parseAddress(address);
    return yield* awaitCallback<Result<HttpResponse>>((done) => {
      let sent = false;
      const request = NodeLibs.http().request({
        host,
        port,
        agent: options.newConnection ? false : keepAliveAgent(),
        method: options.method,
        path: options.path,
        headers: headersOf(options),
      });
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
        done(Fault.ok(responseOf(options.method, response)));
      });
      request.end(options.body);
    });
  },
};
