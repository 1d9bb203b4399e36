import { HttpLimits } from "../src/runtime/env";
import { RawClient, SocketTestBed } from "./rawSockets";

const countResponses = (text: string): number => text.split("HTTP/1.1 ").length - 1;
const request = (headers = ""): string => `GET /a HTTP/1.1\r\nHost: a\r\n${headers}\r\n`;
let testBed: SocketTestBed;
let targets: string[];
let limits: HttpLimits;
let port: number;
beforeEach(async () => {
  testBed = new SocketTestBed();
  targets = [];
  limits = { headerBytes: 600, headerMs: 300, idleMs: 1000 };
  port = await testBed.serve(
    function* (exchange) {
      targets.push(exchange.target);
      const body = yield* exchange.body(1000);
      if (!body.ok) return exchange.send(413, {}, "");
      exchange.send(200, {}, `got ${body.value.length}`);
    },
    () => limits,
  );
});
afterEach(() => {
  testBed.close();
  expect(testBed.errors).toEqual([]);
});
const sleep = (ms: number): Promise<void> => new Promise((done) => void setTimeout(done, ms));

test("headers over the limit get 431 and a closed connection; a changed limit applies to open connections", async () => {
  const longHeader = `X-Long: ${"x".repeat(700)}\r\n`;
  const rejection = await new RawClient(port).write(request(longHeader)).untilClosed();
  expect([rejection.slice(0, 12), targets]).toEqual(["HTTP/1.1 431", []]);
  const client = new RawClient(port).write(request());
  await client.until((text) => text.includes("got 0"));
  limits = { ...limits, headerBytes: 2000 };
  expect(countResponses(await client.write(request(longHeader)).until((text) => countResponses(text) === 2))).toBe(2);
  limits = { ...limits, headerBytes: 600 };
  expect(await client.write(request(longHeader)).untilClosed()).toContain("HTTP/1.1 431");
  expect(targets).toEqual(["/a", "/a"]);
});
test("a body over the limit gets 413 and a closed connection, with a length or in chunks, even if it never ends", async () => {
  const complete = await new RawClient(port)
    .write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1500\r\n\r\n${"x".repeat(1500)}`)
    .untilClosed();
  const announced = await new RawClient(port)
    .write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n")
    .untilClosed();
  const endless = new RawClient(port).write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (let chunk = 0; chunk < 40; chunk += 1) endless.write(`10000\r\n${"x".repeat(65_536)}\r\n`);
  for (const text of [complete, announced, await endless.untilClosed()]) expect(text.slice(0, 12)).toBe("HTTP/1.1 413");
});
test("headers that arrive too slowly get 408 and a closed connection, and the handler is not called", async () => {
  const text = await new RawClient(port).write("GET /slow HTTP/1.1\r\nHost:").untilClosed();
  expect([text.slice(0, 12), targets]).toEqual(["HTTP/1.1 408", []]);
});
test("a connection that was idle for four fifths of the idle time is served, one idle for longer is closed", async () => {
  const client = new RawClient(port);
  await sleep(800); // Before the first request the idle time applies too, which is longer than that for the headers.
  for (let round = 1; round <= 2; round += 1) {
    client.write(request());
    await client.until((text) => countResponses(text) === round);
    if (round === 1) await sleep(800);
  }
  expect(client.text).toMatch(/keep-alive: timeout=1\r\n/i);
  const idleSince = Date.now();
  expect(countResponses(await client.untilClosed())).toBe(2);
  expect(Date.now() - idleSince).toBeGreaterThanOrEqual(1000);
});
test("a raised idle time applies to connections that are idle already", async () => {
  limits = { ...limits, idleMs: 100 };
  const client = new RawClient(port).write(request());
  await client.until((text) => countResponses(text) === 1);
  limits = { ...limits, idleMs: 2000 };
  await sleep(1300);
  client.write(request());
  expect(countResponses(await client.until((text) => countResponses(text) === 2))).toBe(2);
});
