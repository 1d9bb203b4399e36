import { HttpLimits } from "../src/runtime/env";
import { RawClient, SocketTestBed } from "./rawSockets";

const responses = (text: string): number => text.split("HTTP/1.1 ").length - 1;
const request = (more = ""): string => `GET /a HTTP/1.1\r\nHost: a\r\n${more}\r\n`;
let world: SocketTestBed;
let seen: string[];
let limits: HttpLimits;
let port: number;
beforeEach(async () => {
  world = new SocketTestBed();
  seen = [];
  limits = { headerBytes: 600, headerMs: 300, idleMs: 1000 };
  port = await world.serve(
    function* (incoming) {
      seen.push(incoming.target);
      const body = yield* incoming.body(1000);
      if (!body.ok) return incoming.send(413, {}, "");
      incoming.send(200, {}, `got ${body.value.length}`);
    },
    () => limits,
  );
});
afterEach(() => {
  world.close();
  expect(world.errors).toEqual([]);
});
const rest = (ms: number): Promise<void> => new Promise((done) => void setTimeout(done, ms));

test("headers over the limit in force get 431 and a closed connection; a changed limit holds for open connections", async () => {
  const long = `X-Long: ${"x".repeat(700)}\r\n`;
  const refused = await new RawClient(port).write(request(long)).untilClosed();
  expect([refused.slice(0, 12), seen]).toEqual(["HTTP/1.1 431", []]);
  const client = new RawClient(port).write(request());
  await client.until((text) => text.includes("got 0"));
  limits = { ...limits, headerBytes: 2000 };
  expect(responses(await client.write(request(long)).until((text) => responses(text) === 2))).toBe(2);
  limits = { ...limits, headerBytes: 600 };
  expect(await client.write(request(long)).untilClosed()).toContain("HTTP/1.1 431");
  expect(seen).toEqual(["/a", "/a"]);
});
test("a body over the limit gets 413 and a closed connection, with a length or in chunks, also where it never ends", async () => {
  const whole = await new RawClient(port)
    .write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1500\r\n\r\n${"x".repeat(1500)}`)
    .untilClosed();
  const told = await new RawClient(port)
    .write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n")
    .untilClosed();
  const endless = new RawClient(port).write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (let piece = 0; piece < 40; piece += 1) endless.write(`10000\r\n${"x".repeat(65_536)}\r\n`);
  for (const text of [whole, told, await endless.untilClosed()]) expect(text.slice(0, 12)).toBe("HTTP/1.1 413");
});
test("headers that come too slowly get 408 and a closed connection, and nothing is passed on", async () => {
  const text = await new RawClient(port).write("GET /slow HTTP/1.1\r\nHost:").untilClosed();
  expect([text.slice(0, 12), seen]).toEqual(["HTTP/1.1 408", []]);
});
test("a connection that rested for four fifths of the idle time is served, one that rested longer is closed", async () => {
  const client = new RawClient(port);
  await rest(800); // before its first request too, longer than a header may take
  for (let round = 1; round <= 2; round += 1) {
    client.write(request());
    await client.until((text) => responses(text) === round);
    if (round === 1) await rest(800);
  }
  expect(client.text).toMatch(/keep-alive: timeout=1\r\n/i);
  const restedAt = Date.now();
  expect(responses(await client.untilClosed())).toBe(2);
  expect(Date.now() - restedAt).toBeGreaterThanOrEqual(1000);
});
test("a longer idle time holds for connections that are resting already", async () => {
  limits = { ...limits, idleMs: 100 };
  const client = new RawClient(port).write(request());
  await client.until((text) => responses(text) === 1);
  limits = { ...limits, idleMs: 2000 };
  await rest(1300);
  client.write(request());
  expect(responses(await client.until((text) => responses(text) === 2))).toBe(2);
});
