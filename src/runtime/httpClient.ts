import type * as http from "http";
import type * as net from "net";
import { Constants } from "../common/constants";
import { Csp, Task } from "./csp";
import { Fault, Result } from "../common/fault";
import { parseAddress, forwardToChannel, streamScope, awaitCallback } from "./callbacks";
import { HttpRequest, HttpResponse } from "./env";
import { NodeLibs } from "./nodeLibs";

let sharedAgent: http.Agent | undefined;
/** Connections to replicas are kept for less time than the replica says, so that none is used as it closes. */
function patientAgent(): http.Agent {
  const unasked = new WeakMap<net.Socket, () => void>();
  class PatientAgent extends NodeLibs.http().Agent {
    keepSocketAlive(socket: net.Socket & { _httpMessage?: { res?: http.IncomingMessage } }): boolean {
      const told = /timeout=(\d+)/.exec(String(socket._httpMessage?.res?.headers["keep-alive"] ?? ""))?.[1];
      const keptMs =
        told === undefined ? Constants.idleConnectionMs : Math.min(Constants.idleConnectionMs, +told * 500);
      if (keptMs <= 0) return false;
      socket.setKeepAlive(true, 1000);
      socket.unref();
      socket.setTimeout(keptMs);
      // what comes while nothing was asked belongs to no request: the next one goes over another connection
      const end = (): void => void socket.destroy();
      unasked.set(socket, end);
      socket.once("data", end);
      return true;
    }
    reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
      socket.setTimeout(0);
      socket.removeListener("data", unasked.get(socket)!);
      super.reuseSocket(socket, request);
    }
  }
  return (sharedAgent ??= new PatientAgent({ keepAlive: true, maxSockets: 512, maxFreeSockets: 24 }));
}

function responseOf(response: http.IncomingMessage): HttpResponse {
  const chunks = Csp.chan<Buffer>(64);
  let whole = false;
  const put = forwardToChannel(response, chunks);
  response.on("data", put);
  response.on("end", () => {
    whole = true;
    Csp.go(streamScope, "end", function* () {
      chunks.close();
    });
  });
  response.on("close", () => chunks.close());
  response.on("error", () => undefined);
  return {
    status: response.statusCode ?? 0,
    headers: response.headers as Record<string, string>,
    chunks,
    isIncomplete: () => !whole,
    abort: () => void response.destroy(),
    discardBody: () => {
      response.removeListener("data", put);
      response.resume();
    },
  };
}
function headersOf(out: HttpRequest): Record<string, string | number> {
  if (out.body === undefined) return { ...out.headers };
  const type: Record<string, string> = typeof out.body === "string" ? { "content-type": "application/json" } : {};
  return { ...out.headers, ...type, "content-length": Buffer.byteLength(out.body) };
}

/**
 * Requests over kept connections. A fault tells whether the request may have been sent: "refused" means that the
 * connection was never made.
 *
 * @example
 * const replied = yield* HttpClient.request("10.0.0.2:80", { method: "GET", path: "/", timeoutMs: 500 });
 */
export const HttpClient = {
  *request(address: string, out: HttpRequest): Task<Result<HttpResponse>> {
    const { host, port } = parseAddress(address);
    return yield* awaitCallback<Result<HttpResponse>>((done) => {
      let sent = false;
      const request = NodeLibs.http().request({
        host,
        port,
        agent: out.newConnection ? false : patientAgent(),
        method: out.method,
        path: out.path,
        headers: headersOf(out),
      });
      const fail = (detail: string): void =>
        done(Fault.fail(sent ? "broken" : "refused", "http request", address, detail));
      const timer = setTimeout(() => {
        done(Fault.fail(sent ? "timeout" : "refused", "http request", address, "no reply in time"));
        request.destroy();
      }, out.timeoutMs);
      if (out.cancellation)
        out.cancellation.cancel = () => {
          clearTimeout(timer);
          fail("given up by whoever asked");
          request.destroy();
        };
      request.on("socket", (socket) => {
        if (!socket.connecting) {
          sent = true;
          return;
        }
        const slow =
          out.connectTimeoutMs === undefined
            ? undefined
            : setTimeout(() => request.destroy(new Error("no connection in time")), out.connectTimeoutMs);
        socket.once("connect", () => {
          sent = true;
          clearTimeout(slow);
        });
        socket.once("close", () => clearTimeout(slow));
      });
      request.on("error", (error) => {
        clearTimeout(timer);
        fail(error.message);
      });
      // also without an error, as after a change of protocol that nobody asked for; the first outcome counts
      request.on("close", () => {
        clearTimeout(timer);
        fail("connection ended without a reply");
      });
      request.on("response", (response) => {
        clearTimeout(timer);
        done(Fault.ok(responseOf(response)));
      });
      request.end(out.body);
    });
  },
};
