import { EndpointHttp } from "../src/forwarding/endpointHttp";
import { HeaderNames, defaultHeaderNames } from "../src/forwarding/headerNames";
import { Route } from "../src/controlState/configuration";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { EndpointSelector } from "../src/routing/endpointSelector";
import { ClusterSnapshot, Endpoint } from "../src/node/clusterSnapshot";
import { AdmissionQueue } from "../src/routing/admissionQueue";
import { Csp, Task } from "../src/runtime/csp";
import { Environment, EnvironmentTools, HttpExchange, HttpResponse } from "../src/runtime/env";
import { RouteTable } from "../src/routing/routeTable";
import { DirectRequestHandler } from "../src/ingress/directRequestHandler";
import type { CallerResponse } from "../src/adapters/caller/callerOperations";
import type { DirectContext } from "../src/ingress/directContext";
import { IngressCounters } from "../src/ingress/ingressCounters";
import { LookupForwarder } from "../src/ingress/lookupForwarder";
import { RequestTable } from "../src/ingress/requestTable";
import { Result } from "../src/common/fault";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

type ReceivedRequest = { method: string; target: string; headers: Record<string, string>; body: string };
type Behaviour = (exchange: HttpExchange, received: ReceivedRequest, env: Environment) => Task<void>;
const route = (overrides: Partial<Route>): Route => ({
  kind: "lookup",
  pool: "desk",
  path: "/",
  safe: true,
  deadlineMs: 3000,
  continues: "no",
  prefixBytes: 0,
  host: "kiln.example",
  prefix: "/desk/",
  rounds: 3,
  targetMs: 200,
  ...overrides,
});
const endpoint = (index: number): Endpoint => ({
  key: `replica/r${index}/i${index}`,
  id: `r${index}`,
  instance: `i${index}`,
  address: `10.0.1.${index}:80`,
  pool: "desk",
  district: "north",
  version: "v1",
  capacity: 4,
  active: 0,
  waiting: 0,
  bornAt: 0,
  warmAt: 0,
});
const event = (n: number, data = `piece ${n}`): string => `id: ${n}\ndata: ${data}\n\n`;
const eventStreamHeaders = { "content-type": "text/event-stream" };
const echoRequestId = (exchange: HttpExchange): Record<string, string> => ({
  "x-request-id": exchange.headers["x-request-id"],
});
const respond: Behaviour = function* (exchange) {
  exchange.send(200, echoRequestId(exchange), "reply");
};

/** An ingress with scripted endpoints, in simulated time. */
class DirectRequestHarness {
  readonly world = new SimWorld(5, () => undefined);
  readonly received: ReceivedRequest[] = [];
  endedAt = 0;
  private readonly caller = this.world.start("caller", new SimDisk(this.world));
  constructor(
    routes: Record<string, Route>,
    behaviours: Behaviour[],
    names: HeaderNames = defaultHeaderNames,
    clockTrusted = true,
  ) {
    const process = this.world.start("ingress", new SimDisk(this.world));
    const { env } = process;
    const state = ControlState.empty();
    const snapshot: ClusterSnapshot = {
      revision: 1,
      control: ControlSnapshot.of({ ...state, manifest: { version: 1, doc: { bindings: routes } } }, 1),
      members: [],
      endpoints: behaviours.map((_, index) => endpoint(index)),
      overloadedPools: {},
      isCurrent: true,
      clockTrusted,
    };
    const endpointSelector = new EndpointSelector(env, "i");
    const context: DirectContext = {
      env,
      id: "i",
      headerNames: names,
      snapshot: () => snapshot,
      readiness: {
        rejectReason: () => undefined,
        clockReason: () => (clockTrusted ? undefined : "clock"),
      },
      admission: { bodyLimitBytes: () => 100_000, countLive: (_routeName, task) => task() },
      notes: { add: () => undefined },
      counters: new IngressCounters(),
      endpointSelector,
      admissionQueue: new AdmissionQueue(env, endpointSelector, () => undefined),
    };
    const direct = new DirectRequestHandler(context);
    Csp.go(env.scope, "serve", () => env.serveHttp("10.0.0.1:80", (exchange) => direct.serve(exchange)));
    behaviours.forEach((behaviour, index) => {
      const { env: endpointEnv } = this.world.start(`replica-${index}`, new SimDisk(this.world));
      const serve = (exchange: HttpExchange): Task<void> => this.serve(exchange, behaviour, endpointEnv);
      Csp.go(endpointEnv.scope, "serve", () => endpointEnv.serveHttp(`10.0.1.${index}:80`, serve));
    });
  }
  private *serve(exchange: HttpExchange, behaviour: Behaviour, env: Environment): Task<void> {
    const body = yield* exchange.body(100_000);
    if (!body.ok) return;
    const received = {
      method: exchange.method,
      target: exchange.target,
      headers: exchange.headers,
      body: body.value.toString(),
    };
    this.received.push(received);
    yield* behaviour(exchange, received, env);
  }
  async send(
    path: string,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; body: string | undefined; headers: Record<string, string> }> {
    let result: { status: number; body: string | undefined; headers: Record<string, string> } | undefined;
    const { env } = this.caller;
    const harness = this;
    await this.world.run(50);
    Csp.go(env.scope, "send", function* () {
      const response = yield* env.httpRequest("10.0.0.1:80", {
        method: "POST",
        path,
        headers: { host: "kiln.example", "x-request-id": "q1", ...headers },
        body: Buffer.from("body"),
        timeoutMs: 9000,
      });
      if (!response.ok) throw new Error(response.fault.detail);
      const httpResponse: HttpResponse = response.value;
      result = {
        status: httpResponse.status,
        headers: httpResponse.headers,
        body: yield* EnvironmentTools.readBodyText(env, httpResponse, 100_000, 9000),
      };
      harness.endedAt = harness.world.now;
    });
    await this.world.run(10_000);
    return result!;
  }
}

test("a route is found by the longest path prefix of its host, by complete segments only", () => {
  const table = RouteTable.of({
    bindings: {
      a: route({ prefix: "/" }),
      b: route({ prefix: "/x/" }),
      c: route({ prefix: "/x/y/" }),
      d: route({ host: "other.example", prefix: "/x/y/z/" }),
    },
  });
  const name = (host: string, path: string): string | undefined => table.find(host, path)?.name;
  expect([
    name("kiln.example", "/x/y/z/1"),
    name("KILN.example:80", "/x/yy"),
    name("kiln.example", "/z"),
    name("none.example", "/x/"),
  ]).toEqual(["c", "b", "a", undefined]);
});
test("method, path, query, body, end-to-end headers and the response are forwarded unchanged", async () => {
  const harness = new DirectRequestHarness({ desk: route({}) }, [
    function* (exchange) {
      exchange.send(201, { ...echoRequestId(exchange), "x-own": "7", connection: "close" }, "done");
    },
  ]);
  const result = await harness.send("/desk/a%20b?x=1&y=%2F", { "x-extra": "e", connection: "x-hop", "x-hop": "1" });
  expect(harness.received[0]).toMatchObject({ method: "POST", target: "/desk/a%20b?x=1&y=%2F", body: "body" });
  expect(harness.received[0].headers).toMatchObject({
    "x-extra": "e",
    "x-target-instance": "i0",
    host: "kiln.example",
  });
  expect(harness.received[0].headers["x-hop"]).toBeUndefined();
  expect(result).toMatchObject({ status: 201, body: "done", headers: { "x-own": "7" } });
});
test("a request that is not idempotent is delivered once: after a lost response it is not retried, after an explicit refusal it is", async () => {
  const abortResponse: Behaviour = function* (exchange) {
    exchange.abort();
  };
  const lostResponse = new DirectRequestHarness({ desk: route({ safe: false }) }, [
    abortResponse,
    abortResponse,
    abortResponse,
  ]);
  expect((await lostResponse.send("/desk/1")).status).toBe(502);
  expect(lostResponse.received).toHaveLength(1);
  const refuse: Behaviour = function* (exchange) {
    exchange.send(503, { ...echoRequestId(exchange), "x-not-run": "1" }, "");
  };
  const refused = new DirectRequestHarness({ desk: route({ safe: false, rounds: 2 }) }, [refuse, refuse, refuse]);
  const result = await refused.send("/desk/1");
  expect(refused.received).toHaveLength(2);
  expect([result.status, Number(result.headers["retry-after"]) < 1]).toEqual([503, true]);
  const refusedOnce = new DirectRequestHarness({ desk: route({ safe: false }) }, [refuse, respond]);
  expect(await refusedOnce.send("/desk/1")).toMatchObject({ status: 200, body: "reply" });
});
test("a response to another request is not relayed; an idempotent request is retried at another endpoint", async () => {
  const respondToOtherRequest: Behaviour = function* (exchange) {
    exchange.send(200, { "x-request-id": "another" }, "not yours");
  };
  const notIdempotent = new DirectRequestHarness({ desk: route({ safe: false }) }, [respondToOtherRequest]);
  expect((await notIdempotent.send("/desk/1")).status).toBe(502);
  const safe = new DirectRequestHarness({ desk: route({}) }, [respondToOtherRequest, respond]);
  expect(await safe.send("/desk/1")).toMatchObject({ status: 200, body: "reply" });
});
test("a resumable stream continues at another endpoint after the last chunk, with each chunk once", async () => {
  const sendTwoEventsThenAbort: Behaviour = function* (exchange, received, env) {
    const after = Number(received.headers["last-event-id"] ?? 0);
    exchange.startStream(200, { ...echoRequestId(exchange), ...eventStreamHeaders });
    for (let n = after + 1; n <= Math.min(after + 2, 6); n += 1) exchange.write(event(n));
    if (after < 4) exchange.write(event(after + 3).slice(0, 9)); // The stream ends inside an event.
    yield* EnvironmentTools.sleep(env, 20);
    if (after + 2 < 6) exchange.abort();
    else exchange.end();
  };
  const stream = { kind: "stream" as const, continues: "exact" as const };
  const harness = new DirectRequestHarness({ desk: route(stream) }, [
    sendTwoEventsThenAbort,
    sendTwoEventsThenAbort,
    sendTwoEventsThenAbort,
  ]);
  expect(await harness.send("/desk/1")).toMatchObject({
    status: 200,
    body: [1, 2, 3, 4, 5, 6].map((n) => event(n)).join(""),
  });
  const notResumable = new DirectRequestHarness({ desk: route({ ...stream, safe: false, continues: "no" }) }, [
    sendTwoEventsThenAbort,
    sendTwoEventsThenAbort,
  ]);
  expect((await notResumable.send("/desk/1")).body).toBeUndefined(); // The response is aborted and never looks complete.
  expect(notResumable.received).toHaveLength(1);
});
test("a stream that skips or repeats an event is not relayed past it", async () => {
  const skipEvent: Behaviour = function* (exchange) {
    exchange.startStream(200, { ...echoRequestId(exchange), ...eventStreamHeaders });
    exchange.write(event(1) + event(3));
    exchange.end();
  };
  const harness = new DirectRequestHarness({ desk: route({ kind: "stream", safe: false }) }, [skipEvent]);
  expect((await harness.send("/desk/1")).body).toBeUndefined();
});
test("an idempotent request to an unresponsive endpoint is retried at another one, and the endpoint gets no further request at once", async () => {
  const neverRespond: Behaviour = function* (exchange) {
    yield* Csp.take(exchange.disconnected);
  };
  const harness = new DirectRequestHarness({ desk: route({}) }, [neverRespond, respond]);
  for (let n = 0; n < 3; n += 1) expect((await harness.send(`/desk/${n}`)).status).toBe(200);
  expect(
    harness.received.filter((received) => received.headers["x-target-instance"] === "i0").length,
  ).toBeLessThanOrEqual(2);
});

const signedHeaderNames: HeaderNames = { ...defaultHeaderNames, endpointSignature: "x-signature" };
const failWith = (status: number, overrides: Record<string, string> = {}): Behaviour =>
  function* (exchange) {
    exchange.send(status, { ...echoRequestId(exchange), "x-signature": "s1", ...overrides }, "no");
  };
test("a status that means 'not executed' is relayed as 502 without a signature unless the endpoint guarantees it; other failures keep status and signature", async () => {
  for (const kind of ["lookup", "stream"] as const)
    for (const status of [503, 429, 408]) {
      const harness = new DirectRequestHarness(
        { desk: route({ kind, safe: false }) },
        [failWith(status), failWith(status)],
        signedHeaderNames,
      );
      const result = await harness.send("/desk/1");
      expect([status, result.status, result.headers["x-signature"], result.headers["retry-after"]]).toEqual([
        status,
        502,
        undefined,
        undefined,
      ]);
      expect(harness.received).toHaveLength(1);
    }
  for (const status of [500, 504, 422, 404]) {
    const harness = new DirectRequestHarness({ desk: route({ safe: false }) }, [failWith(status)], signedHeaderNames);
    expect(await harness.send("/desk/1")).toMatchObject({ status, headers: { "x-signature": "s1" }, body: "no" });
  }
});
test("an idempotent request is retried elsewhere after such a failure, and ends with 502 and no signature once no attempt is left", async () => {
  for (const status of [503, 429, 408]) {
    const retried = new DirectRequestHarness({ desk: route({}) }, [failWith(status), failWith(200)], signedHeaderNames);
    expect((await retried.send("/desk/1")).status).toBe(200);
    const harness = new DirectRequestHarness(
      { desk: route({ rounds: 2 }) },
      [1, 2, 3].map(() => failWith(status)),
      signedHeaderNames,
    );
    const result = await harness.send("/desk/1");
    expect([result.status, result.headers["x-signature"], harness.received.length]).toEqual([502, undefined, 2]);
  }
});
test("only a refusal with this request's id allows another attempt; a refusal of another request does not", async () => {
  const refuseOtherRequest: Behaviour = function* (exchange) {
    exchange.send(503, { "x-request-id": "another", "x-not-run": "1" }, "");
  };
  const harness = new DirectRequestHarness({ desk: route({ safe: false }) }, [refuseOtherRequest, refuseOtherRequest]);
  expect((await harness.send("/desk/1")).status).toBe(502);
  expect(harness.received).toHaveLength(1);
  const misdirected = new DirectRequestHarness({ desk: route({ safe: false }) }, [failWith(421), respond]);
  expect((await misdirected.send("/desk/1")).status).toBe(200);
});
test("a single response with a status that means 'not executed', but without the endpoint's refusal, is a failure and no response", async () => {
  const world = new SimWorld(5, () => undefined);
  const server = world.start("replica", new SimDisk(world));
  let status = 0;
  Csp.go(server.env.scope, "serve", () =>
    server.env.serveHttp("10.0.1.0:80", function* (exchange) {
      exchange.send(status, {}, "{}");
    }),
  );
  const caller = world.start("caller", new SimDisk(world));
  for (status of [408, 421, 429, 503]) {
    const delivery = {
      path: "/",
      id: "q",
      attempt: 1,
      body: "{}",
      receivedChunks: [],
      deadlineMs: 1000,
      idempotent: false,
    };
    const response = await world.runTask(caller, () => EndpointHttp.single(caller.env, endpoint(0), delivery), 2000);
    expect(response).toMatchObject({ ok: false, fault: { tag: "broken" } });
  }
});
test("no more endpoints run one request than its route's attempts, counting resumed streams and attempts that may have run", async () => {
  const sendOneEventThenAbort: Behaviour = function* (exchange, received, env) {
    exchange.startStream(200, { ...echoRequestId(exchange), ...eventStreamHeaders });
    exchange.write(event(Number(received.headers["last-event-id"] ?? 0) + 1));
    yield* EnvironmentTools.sleep(env, 5);
    exchange.abort();
  };
  const abortResponse: Behaviour = function* (exchange) {
    exchange.abort();
  };
  const neverRespond: Behaviour = function* (exchange) {
    yield* Csp.take(exchange.disconnected);
  };
  const stream = { kind: "stream" as const, continues: "exact" as const };
  const fiveTimes = (behaviour: Behaviour): Behaviour[] => Array.from({ length: 5 }, () => behaviour);
  for (const rounds of [1, 2, 4]) {
    const streams = new DirectRequestHarness({ desk: route({ ...stream, rounds }) }, fiveTimes(sendOneEventThenAbort));
    expect((await streams.send("/desk/1")).body).toBeUndefined();
    expect(streams.received).toHaveLength(rounds);
    for (const behaviour of [abortResponse, neverRespond]) {
      const lookups = new DirectRequestHarness({ desk: route({ rounds }) }, fiveTimes(behaviour));
      expect([502, 504]).toContain((await lookups.send("/desk/1")).status);
      expect(lookups.received).toHaveLength(rounds);
    }
  }
});
test("a lookup by route name is limited to its route's attempts too", async () => {
  const world = new SimWorld(5, () => undefined);
  const { env } = world.start("ingress", new SimDisk(world));
  let runCount = 0;
  for (const index of [0, 1, 2]) {
    const server = world.start(`replica-${index}`, new SimDisk(world));
    Csp.go(server.env.scope, "serve", () =>
      server.env.serveHttp(`10.0.1.${index}:80`, function* (exchange) {
        runCount += 1;
        exchange.abort();
      }),
    );
  }
  const pool = [0, 1, 2].map(endpoint);
  const state = ControlState.empty();
  const snapshot: ClusterSnapshot = {
    revision: 1,
    control: ControlSnapshot.of(state, 1),
    members: [],
    endpoints: pool,
    overloadedPools: {},
    isCurrent: true,
    clockTrusted: true,
  };
  const endpointSelector = new EndpointSelector(env, "i");
  const requestTable = new RequestTable<Result<CallerResponse>>(4);
  const lookups = new LookupForwarder({
    env,
    id: "i",
    admissionQueue: new AdmissionQueue(env, endpointSelector, () => undefined),
    endpointSelector,
    requestTable,
    counters: new IngressCounters(),
    notes: { add: () => undefined },
    snapshot: () => snapshot,
  });
  const admitted = { name: "desk", route: route({ rounds: 1 }), caller: "", order: 1, cause: {}, deadlineMs: 3000 };
  await world.run(50);
  const outcomes: Result<CallerResponse>[] = [];
  const handle = requestTable.open((outcome) => outcomes.push(outcome))!;
  Csp.go(env.scope, "lookup", () => lookups.run(handle, "q1", admitted, "{}"));
  await world.run(5000);
  expect([outcomes.length, outcomes[0].ok, runCount]).toEqual([1, false, 1]);
});
test("no request is pending past its route's deadline, nor rejected later than a quarter of its latency target where no endpoint has capacity", async () => {
  const neverRespond: Behaviour = function* (exchange) {
    yield* Csp.take(exchange.disconnected);
  };
  const sendBodySlowly: Behaviour = function* (exchange, _received, env) {
    exchange.startStream(200, echoRequestId(exchange));
    for (; !exchange.disconnected.isClosed();) {
      exchange.write("x");
      yield* EnvironmentTools.sleep(env, 100);
    }
  };
  const sendEventsSlowly: Behaviour = function* (exchange, _received, env) {
    exchange.startStream(200, { ...echoRequestId(exchange), ...eventStreamHeaders });
    for (let n = 1; !exchange.disconnected.isClosed(); n += 1) {
      exchange.write(event(n));
      yield* EnvironmentTools.sleep(env, 100);
    }
  };
  const measure = async (harness: DirectRequestHarness): Promise<[number | undefined, number]> => {
    const startedAt = harness.world.now + 50;
    const status = await harness.send("/desk/1").then((result) => result.status);
    return [status, harness.endedAt - startedAt];
  };
  for (const safe of [true, false])
    for (const behaviour of [neverRespond, sendBodySlowly, sendEventsSlowly]) {
      const kind = behaviour === sendEventsSlowly ? "stream" : "lookup";
      const [, elapsedMs] = await measure(
        new DirectRequestHarness({ desk: route({ kind, safe, deadlineMs: 1000 }) }, [behaviour]),
      );
      expect(elapsedMs).toBeLessThan(1250);
    }
  const [status, elapsedMs] = await measure(
    new DirectRequestHarness({ desk: route({ pool: "none", targetMs: 400 }) }, [neverRespond]),
  );
  expect(status).toBe(503);
  expect(elapsedMs).toBeLessThan(100 + 20); // A quarter of the target, and the network latency.
});

test("without a trusted clock batch jobs, which get a timestamp, are rejected, but requests that are only forwarded are served", async () => {
  const routes = { a: route({}), jobs: route({ kind: "item", prefix: "/jobs/" }) };
  const harness = new DirectRequestHarness(routes, [respond], defaultHeaderNames, false);
  expect((await harness.send("/desk/1")).status).toBe(200);
  const job = await harness.send("/jobs/1");
  expect(job.status).toBe(503);
  expect(Number(job.headers["retry-after"])).toBeGreaterThan(0);
  expect(harness.received).toHaveLength(1);
});
