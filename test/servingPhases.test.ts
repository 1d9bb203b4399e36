import { Csp } from "../src/runtime/csp";
import { HttpExchange } from "../src/runtime/env";
import { GracefulShutdown } from "../src/node/gracefulShutdown";
import { RawClient, SocketTestBed } from "./rawSockets";

// Guards against requests that a stopping process has read and leaves without an answer (users' rule LOST).

const GET = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const postHead = (length: number): string => `POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`;
const responses = (text: string): number[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));

/** A server whose exchanges wait until the test handles them. */
class WaitingServer {
  readonly bed = new SocketTestBed();
  readonly arrived = Csp.chan<HttpExchange>(16);
  port = 0;

  async start(): Promise<void> {
    const { arrived } = this;
    this.port = await this.bed.serve(function* (exchange) {
      yield* Csp.put(arrived, exchange);
    });
  }
  next(): Promise<HttpExchange> {
    const { arrived } = this;
    return this.bed.run(function* () {
      return (yield* Csp.take(arrived))!;
    });
  }
  client(): RawClient {
    return new RawClient(this.port);
  }
}

describe("a process that takes no requests any more", () => {
  let server: WaitingServer;
  beforeEach(async () => {
    server = new WaitingServer();
    await server.start();
  });
  afterEach(() => {
    server.bed.close();
    expect(server.bed.errors).toEqual([]);
  });

  test("rejects a request on a connection whose last response promised to keep it, and closes the connection", async () => {
    const client = server.client().write(GET);
    const first = await server.next();
    first.startStream(200, {});
    await client.until((text) => text.includes("\r\n\r\n"));
    expect(client.text.toLowerCase()).toContain("connection: keep-alive");
    server.bed.env.enterServingPhase("draining");
    first.end();
    await client.until((text) => text.endsWith("0\r\n\r\n"));
    client.write(GET);
    const text = await client.untilClosed();
    expect(responses(text)).toEqual([200, 503]);
    expect(text.toLowerCase()).toMatch(
      /retry-after: 1\r\n[^]*connection: close|connection: close\r\n[^]*retry-after: 1/,
    );
    expect(server.bed.env.unfinishedRequests()).toBe(0);
  });

  test("closes such a connection also if no further request comes", async () => {
    const client = server.client().write(GET);
    const first = await server.next();
    first.startStream(200, {});
    await client.until((text) => text.includes("\r\n\r\n"));
    server.bed.env.enterServingPhase("draining");
    first.end();
    expect(responses(await client.untilClosed())).toEqual([200]);
  });

  test("rejects a request whose last byte comes then, once it has come", async () => {
    const client = server.client().write(postHead(4)).write("ab");
    const exchange = await server.next();
    const body = server.bed.run(() => exchange.body(100));
    server.bed.env.enterServingPhase("draining");
    client.write("cd");
    const read = await body;
    expect(!read.ok && read.fault.tag).toBe("busy");
    exchange.send(503, {}, "");
    expect(responses(await client.untilClosed())).toEqual([503]);
  });

  test("rejects a first request on a connection that was opened before, after its body, without handling it", async () => {
    const client = server.client();
    const other = server.client().write(GET);
    const exchange = await server.next();
    server.bed.env.enterServingPhase("draining");
    client.write(postHead(4)).write("ab");
    client.write("cd");
    expect(responses(await client.untilClosed())).toEqual([503]);
    expect(Csp.poll(server.arrived)).toBeUndefined();
    exchange.send(200, {}, "");
    expect(responses(await other.untilClosed())).toEqual([200]);
  });

  test("answers at its end what it has not finished; the status tells whether the request may have run", async () => {
    const clients = [GET, `${postHead(2)}ab`, `${postHead(2)}ab`, GET].map((text) => server.client().write(text));
    const exchanges: HttpExchange[] = [];
    for (let count = 0; count < clients.length; count += 1) exchanges.push(await server.next());
    // The handler of one of the two POST requests says that it has not passed it on.
    exchanges.find(({ method }) => method === "POST")!.mayHaveRun = false;
    server.bed.env.enterServingPhase("closed");
    const statuses = (await Promise.all(clients.map((client) => client.untilClosed()))).flatMap(responses);
    expect(statuses.sort()).toEqual([503, 503, 503, 504]);
  });

  test("reads nothing after its end, and ends connections on which nothing is in progress", async () => {
    const idle = server.client();
    const kept = server.client().write(GET);
    (await server.next()).send(200, {}, "");
    await kept.until((text) => text.includes("\r\n\r\n"));
    server.bed.env.enterServingPhase("closed");
    idle.write(GET);
    kept.write(GET);
    expect(responses(await idle.untilClosed())).toEqual([]);
    expect(responses(await kept.untilClosed())).toEqual([200]);
    expect(Csp.poll(server.arrived)).toBeUndefined();
  });
});

test.each([
  { gracePeriodMs: undefined, finishMs: 6800, listenMs: 3000 },
  { gracePeriodMs: 8000, finishMs: 6800, listenMs: 3000 },
  { gracePeriodMs: 5000, finishMs: 3800, listenMs: 1900 },
  { gracePeriodMs: 1000, finishMs: 500, listenMs: 250 },
])("the times of a shutdown follow from a grace period of $gracePeriodMs ms", ({ gracePeriodMs, ...times }) => {
  const bed = new SocketTestBed();
  const { finishMs, listenMs } = new GracefulShutdown(bed.env, { gracePeriodMs });
  bed.close();
  expect({ finishMs, listenMs }).toEqual(times);
});
