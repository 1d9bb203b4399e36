import * as net from "net";
import { HttpResponse } from "../src/runtime/env";
import { Csp } from "../src/runtime/csp";
import { SocketTestBed } from "./rawSockets";

// Guards against a response that was reset on the way and is taken for a complete one (users' rule MIXED, review case 2).

const BODY = "0123456789".repeat(30);
/** More than the client buffers, so that it pauses the connection. */
const LONG_BODY = "0123456789".repeat(600_000);

const head = (extraHeaders: string, version = "1.1"): string => `HTTP/${version} 200 OK\r\n${extraHeaders}\r\n`;
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
/** A response of each framing, without its last part: what is still to come ends it. */
const responses: Record<string, { start: (body: string) => string; rest: (body: string) => string }> = {
  "the end of the connection": { start: (body) => head("Connection: close\r\n") + body, rest: () => "" },
  "the end of the connection, of HTTP/1.0": { start: (body) => head("", "1.0") + body, rest: () => "" },
  "the end of the connection, behind a transfer encoding": {
    start: (body) => head("Transfer-Encoding: identity\r\nConnection: close\r\n") + body,
    rest: () => "",
  },
  "a length": { start: (body) => head(`Content-Length: ${2 * body.length}\r\n`) + body, rest: (body) => body },
  chunks: { start: (body) => head("Transfer-Encoding: chunked\r\n") + chunk(body), rest: () => "0\r\n\r\n" },
};
const endsWithConnection = (framing: string): boolean => framing.startsWith("the end of the connection");

let bed: SocketTestBed;
beforeEach(() => {
  bed = new SocketTestBed();
});
afterEach(() => {
  bed.close();
  expect(bed.errors).toEqual([]);
});

/** Sends a request to an endpoint that answers as `answer` says, and reads the response; `readAfter` delays the reading. */
async function receive(
  answer: (socket: net.Socket) => void,
  readAfter: Promise<unknown> = Promise.resolve(),
): Promise<{ bytes: number; end: string }> {
  const port = await bed.listen((socket) => void socket.once("data", () => answer(socket)));
  const opened = await bed.run(() =>
    bed.env.httpRequest(`127.0.0.1:${port}`, { method: "POST", path: "/", body: "q", timeoutMs: 5000 }),
  );
  if (!opened.ok) throw new Error(opened.fault.detail);
  await readAfter;
  return bed.run(() => readToEnd(opened.value));
}
function* readToEnd(response: HttpResponse) {
  let bytes = 0;
  for (let data = yield* Csp.take(response.chunks); data !== null; data = yield* Csp.take(response.chunks))
    bytes += data.length;
  return { bytes, end: response.bodyEnd() };
}
/** Resets the connection once the peer has had the time to read what was written before. */
const resetLater = (socket: net.Socket): void => void setTimeout(() => socket.resetAndDestroy(), 40);

describe("a response whose body is ended by", () => {
  for (const [framing, { start, rest }] of Object.entries(responses)) {
    test(`${framing} is complete if the endpoint closes the connection after its end`, async () => {
      const received = await receive((socket) => void socket.end(start(BODY) + rest(BODY)));
      expect(received.end).toBe("complete");
    });
    test(`${framing} is incomplete if the connection is reset after a part of it`, async () => {
      const received = await receive((socket) => {
        socket.write(start(BODY));
        resetLater(socket);
      });
      expect(received).toEqual({ bytes: BODY.length, end: "reset" });
    });
    test(`${framing} is incomplete if the reset arrives together with the last part that was sent`, async () => {
      const received = await receive((socket) => {
        socket.write(start(BODY));
        socket.resetAndDestroy();
      });
      expect(received).toEqual({ bytes: BODY.length, end: "reset" });
    });
    test(`${framing} is incomplete if the connection is reset while the reader is behind`, async () => {
      let noteReset = (): void => undefined;
      const wasReset = new Promise<void>((done) => (noteReset = done));
      const received = await receive((socket) => {
        socket.on("close", () => noteReset());
        socket.write(start(LONG_BODY));
        resetLater(socket);
      }, wasReset);
      expect(received.end).not.toBe("complete");
    });
    if (endsWithConnection(framing)) continue;
    test(`${framing} is incomplete if the endpoint closes the connection before its end`, async () => {
      const received = await receive((socket) => void socket.end(start(BODY)));
      expect(received).toEqual({ bytes: BODY.length, end: "truncated" });
    });
  }
});
test("a response without other framing is complete if the endpoint closed the connection in order and reset it afterwards", async () => {
  const framing = responses["the end of the connection"];
  const received = await receive((socket) => {
    // Closing with unread data resets the connection behind the end of the response.
    socket.pause();
    socket.end(framing.start(BODY), () => setImmediate(() => socket.resetAndDestroy()));
  });
  expect(received).toEqual({ bytes: BODY.length, end: "complete" });
});
test("a response that this process aborts is neither complete nor counted as cut off by the endpoint", async () => {
  const port = await bed.listen(
    (socket) => void socket.once("data", () => socket.write(responses["the end of the connection"].start(BODY))),
  );
  const opened = await bed.run(() =>
    bed.env.httpRequest(`127.0.0.1:${port}`, { method: "GET", path: "/", timeoutMs: 5000 }),
  );
  if (!opened.ok) throw new Error(opened.fault.detail);
  opened.value.abort();
  expect((await bed.run(() => readToEnd(opened.value))).end).toBe("aborted");
});
