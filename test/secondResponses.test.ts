import type * as net from "net";
import { EndpointHttp } from "../src/forwarding/endpointHttp";
import { defaultHeaderNames } from "../src/forwarding/headerNames";
import { EndpointSelector } from "../src/routing/endpointSelector";
import { BatchJob } from "../src/shard/shardTypes";
import { newItemCounters } from "../src/storage/batchJobs/itemCounters";
import { ItemAttemptOutcome, ItemExecution } from "../src/storage/batchJobs/itemExecution";
import { OpenJob } from "../src/storage/batchJobs/openJob";
import { OpenJobs } from "../src/storage/batchJobs/openJobs";
import { modelEndpoint } from "./modelEndpoint";
import { EndpointBehaviour, responseHead, SocketIngress, statusOf } from "./socketIngress";

// Guards against a late second copy of a response that is taken for the response to a later attempt of the same request, on the
// connection that has carried both (docs/incidents/late-second-answer.md).

const WORK_MS = 40;
const COPY_DELAY_MS = 10;
const LATE_COPY_DELAY_MS = 5;

/** When the second copy of a response is sent. */
const moments = ["beforeNextRequest", "withNextRequest", "whileNextRequestRuns"] as const;
type Moment = (typeof moments)[number];

const refusals: Readonly<Record<string, (id: string) => string>> = {
  "503 that says so": (id) => bodiless("503 Service Unavailable", id, "X-Not-Run: 1\r\n"),
  "429 that says so": (id) => bodiless("429 Too Many Requests", id, "X-Not-Run: 1\r\n"),
  "421 that says so": (id) => bodiless("421 Misdirected Request", id, "X-Not-Run: 1\r\n"),
  "421 by its status alone": (id) => bodiless("421 Misdirected Request", id),
};
function bodiless(status: string, id: string, extraHeaders = ""): string {
  return `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Accepted: no\r\n${extraHeaders}Content-Length: 0\r\n\r\n`;
}
const success = (id: string, body = `"for ${id}"`): string =>
  responseHead(id, `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
const failure = (id: string): string => bodiless("500 Internal Server Error", id);
const eventText = (n: number): string => `id: ${n}\ndata: event ${n}\n\n`;
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
const streamHead = (id: string): string =>
  responseHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");

const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/**
 * An endpoint that gives the first response to each id at once, and a second copy of it on the same connection at a later
 * moment. It runs every further request with an id, and responds to it after some work.
 */
class RepeatingEndpoint {
  /** The ids that ran, one entry for each run. */
  readonly runs: string[] = [];
  private readonly seenIds = new Set<string>();
  private readonly copies = new WeakMap<net.Socket, string>();
  constructor(
    private readonly moment: Moment,
    private readonly firstResponse: (id: string) => string,
    private readonly laterResponse: (id: string) => string = success,
  ) {}

  readonly behaviour: EndpointBehaviour = (socket, { id }) => {
    this.sendCopy(socket);
    if (this.seenIds.has(id)) return this.run(socket, id);
    this.seenIds.add(id);
    const response = this.firstResponse(id);
    socket.write(response);
    if (this.moment === "beforeNextRequest") setTimeout(() => socket.write(response), LATE_COPY_DELAY_MS);
    else this.copies.set(socket, response);
  };

  private sendCopy(socket: net.Socket): void {
    const copy = this.copies.get(socket);
    if (copy === undefined) return;
    this.copies.delete(socket);
    if (this.moment === "withNextRequest") socket.write(copy);
    else setTimeout(() => socket.write(copy), COPY_DELAY_MS);
  }
  private run(socket: net.Socket, id: string): void {
    this.runs.push(id);
    setTimeout(() => socket.destroyed || socket.write(this.laterResponse(id)), WORK_MS);
  }
}

let ingress: SocketIngress;
beforeEach(() => {
  ingress = new SocketIngress();
});
afterEach(() => {
  ingress.world.close();
  expect(ingress.world.errors).toEqual([]);
});

describe.each(moments)("the second copy of a response arrives %s", (moment) => {
  const runsOf = (endpoints: RepeatingEndpoint[]): string[] => endpoints.flatMap((endpoint) => endpoint.runs);

  describe.each([1, 2])(
    "and %i endpoint(s) refuse a request that may not be repeated, and are asked again",
    (count) => {
      test.each(Object.keys(refusals))("a copied %s is not taken for the response to the run", async (name) => {
        const endpoints = Array.from({ length: count }, () => new RepeatingEndpoint(moment, refusals[name]));
        const behaviours = endpoints.map(({ behaviour }) => behaviour);
        await ingress.start({ rounds: 3, targetMs: 2000 }, behaviours);
        expect(await ingress.sendOnce("q1")).toContain("for q1");
        expect(runsOf(endpoints)).toEqual(["q1"]);
      });
    },
  );

  test("a stream that may not be resumed is not promised as not run after a copied refusal", async () => {
    const stream = (id: string): string => `${streamHead(id)}${chunk(eventText(1))}0\r\n\r\n`;
    const endpoint = new RepeatingEndpoint(moment, refusals["503 that says so"], stream);
    await ingress.start({ kind: "stream", rounds: 3, targetMs: 2000 }, [endpoint.behaviour]);
    const text = await ingress.sendOnce("q1");
    expect([statusOf(text), text.includes("event 1"), endpoint.runs]).toEqual([200, true, ["q1"]]);
  });
  test("a stream that is resumed at the same endpoint does not receive a copy of its earlier events", async () => {
    const endsInsideSecondEvent = (id: string): string =>
      `${streamHead(id)}${chunk(eventText(1))}${chunk("id: 2\ndata: ev")}0\r\n\r\n`;
    const remainder = (id: string): string => `${streamHead(id)}${chunk(eventText(2) + eventText(3))}0\r\n\r\n`;
    const endpoint = new RepeatingEndpoint(moment, endsInsideSecondEvent, remainder);
    await ingress.start({ kind: "stream", safe: true, continues: "exact", targetMs: 2000 }, [endpoint.behaviour]);
    const text = await ingress.sendOnce("q1");
    expect(text.match(/data: .*/g)).toEqual(["data: event 1", "data: event 2", "data: event 3"]);
    expect([text.endsWith("0\r\n\r\n"), endpoint.runs]).toEqual([true, ["q1"]]);
  });
  test("a copied failure does not end the next attempt of an idempotent request", async () => {
    const endpoint = new RepeatingEndpoint(moment, failure);
    await ingress.start({ safe: true, rounds: 2, targetMs: 2000 }, [endpoint.behaviour]);
    expect(await ingress.sendOnce("q1")).toContain("for q1");
    expect(endpoint.runs).toEqual(["q1"]);
  });

  describe("and an item of a batch job is attempted again at the same endpoint", () => {
    async function attemptTwice(endpoint: RepeatingEndpoint): Promise<ItemAttemptOutcome[]> {
      await ingress.start({}, [endpoint.behaviour]);
      const { env } = ingress.world;
      const openJobs = { mayContinue: () => true } as unknown as OpenJobs;
      const selector = new EndpointSelector(env, "i");
      const execution = new ItemExecution(env, selector, openJobs, defaultHeaderNames, newItemCounters());
      const target = { ...modelEndpoint(1), address: ingress.endpointAddresses[0] };
      const open = { id: "job", progress: new Map(), running: new Map() } as unknown as OpenJob;
      const item = { id: "item1", target: "/desk/1", headers: {} };
      const job = {
        requests: [item],
        bodies: [""],
        kept: {},
        stamp: { time: env.wallClockMs() },
      } as unknown as BatchJob;
      const outcomes: ItemAttemptOutcome[] = [];
      for (let attempt = 0; attempt < 2; attempt += 1) {
        outcomes.push(await ingress.world.run(() => execution.attempt(open, job, 0, target)));
        if (moment === "beforeNextRequest") await wait(4 * LATE_COPY_DELAY_MS);
      }
      return outcomes;
    }
    test("a copied failure is not counted as a second one", async () => {
      const endpoint = new RepeatingEndpoint(moment, failure);
      const outcomes = await attemptTwice(endpoint);
      expect(outcomes).toMatchObject([{ tag: "failed" }, { tag: "done", result: '"for item1"' }]);
      expect(endpoint.runs).toEqual(["item1"]);
    });
    test("a copied refusal does not end the attempt that runs", async () => {
      const endpoint = new RepeatingEndpoint(moment, refusals["503 that says so"]);
      const outcomes = await attemptTwice(endpoint);
      expect(outcomes).toMatchObject([{ tag: "interrupted" }, { tag: "done", result: '"for item1"' }]);
      expect(endpoint.runs).toEqual(["item1"]);
    });
  });

  test("a copied refusal does not end the next attempt of a request by the product's own interface", async () => {
    const endpoint = new RepeatingEndpoint(moment, refusals["503 that says so"]);
    await ingress.start({}, [endpoint.behaviour]);
    const target = { ...modelEndpoint(1), address: ingress.endpointAddresses[0] };
    const forwarded = {
      path: "/",
      id: "q1",
      attempt: 1,
      body: "",
      receivedChunks: [],
      deadlineMs: 2000,
      idempotent: true,
    };
    const send = () => ingress.world.run(() => EndpointHttp.single(ingress.world.env, target, forwarded));
    expect(await send()).toMatchObject({ ok: false, fault: { tag: "refused" } });
    if (moment === "beforeNextRequest") await wait(4 * LATE_COPY_DELAY_MS);
    expect(await send()).toEqual({ ok: true, value: { status: 200, body: '"for q1"' } });
    expect(endpoint.runs).toEqual(["q1"]);
  });
});

test("a response that names another request is not used by the product's own interface, and one that names none is", async () => {
  const withoutId = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
  await ingress.start({}, [(socket, _request, count) => void socket.write(count === 1 ? success("q0") : withoutId)]);
  const target = { ...modelEndpoint(1), address: ingress.endpointAddresses[0] };
  const send = (id: string) => {
    const forwarded = { path: "/", id, attempt: 1, body: "", receivedChunks: [], deadlineMs: 2000, idempotent: true };
    return ingress.world.run(() => EndpointHttp.single(ingress.world.env, target, forwarded));
  };
  expect(await send("q1")).toMatchObject({ ok: false, fault: { tag: "broken" } });
  expect(await send("q2")).toEqual({ ok: true, value: { status: 200, body: "1" } });
  expect(ingress.connections).toBe(2);
});
describe("connections", () => {
  test("one that was sent a response to another request, before or after the response to its own, is not used again", async () => {
    const workMs = 20;
    const sendAnotherResponseFirst: EndpointBehaviour = (socket, { id }, requestCount) => {
      if (requestCount === 1) socket.write(refusals["503 that says so"]("q0"));
      setTimeout(() => socket.destroyed || socket.write(success(id)), workMs);
    };
    await ingress.start({}, [sendAnotherResponseFirst]);
    expect(statusOf(await ingress.sendOnce("q1"))).toBe(502);
    for (const id of ["q2", "q3"]) expect(await ingress.sendOnce(id)).toContain(`for ${id}`);
    expect(ingress.connections).toBe(2);
  });
  test("are as many as a request has attempts if an endpoint refuses its first ones, however many requests there are", async () => {
    const attempts = 3;
    const attemptsById = new Map<string, number>();
    const refuseAllButLast: EndpointBehaviour = (socket, { id }) => {
      const attempt = (attemptsById.get(id) ?? 0) + 1;
      attemptsById.set(id, attempt);
      socket.write(attempt < attempts ? refusals["503 that says so"](id) : success(id));
    };
    await ingress.start({ rounds: attempts, targetMs: 2000 }, [refuseAllButLast]);
    for (let n = 0; n < 50; n += 1) expect(await ingress.sendOnce(`q${n}`)).toContain(`for q${n}`);
    expect(ingress.connections).toBe(attempts);
  });
  test("that a request had to wait for are not used if they have carried its id", async () => {
    const maxConnections = 512;
    const sockets: net.Socket[] = [];
    await ingress.start({}, [(socket) => void sockets.push(socket)]);
    const { env } = ingress.world;
    const send = (id: string) =>
      ingress.world.run(() =>
        env.httpRequest(ingress.endpointAddresses[0], {
          method: "GET",
          path: "/",
          headers: { "x-request-id": id },
          timeoutMs: 20_000,
          correlation: { id, header: "x-request-id" },
        }),
      );
    const first = Array.from({ length: maxConnections }, (_each, n) => send(`q${n}`));
    const waiting = send("q0");
    while (sockets.length < maxConnections) await wait(5);
    const q0 = ingress.receivedRequests.findIndex(({ id }) => id === "q0");
    sockets[q0].write(success("q0"));
    expect(await first[q0]).toMatchObject({ ok: true });
    expect(await waiting).toMatchObject({ ok: false, fault: { tag: "refused" } });
    expect(ingress.receivedRequests).toHaveLength(maxConnections);
    for (const socket of sockets) socket.destroy();
    await Promise.all(first);
  });
});
