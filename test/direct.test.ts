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

type Seen = { method: string; target: string; headers: Record<string, string>; body: string };
type Behaviour = (incoming: HttpExchange, seen: Seen, env: Environment) => Task<void>;
const route = (more: Partial<Route>): Route => ({
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
  ...more,
});
const endpoint = (at: number): Endpoint => ({
  key: `replica/r${at}/i${at}`,
  id: `r${at}`,
  instance: `i${at}`,
  address: `10.0.1.${at}:80`,
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
const sse = { "content-type": "text/event-stream" };
const echo = (incoming: HttpExchange): Record<string, string> => ({ "x-request-id": incoming.headers["x-request-id"] });
const whole: Behaviour = function* (incoming) {
  incoming.send(200, echo(incoming), "reply");
};

/** An intake before scripted replicas, in virtual time. */
class Bench {
  readonly world = new SimWorld(5, () => undefined);
  readonly seen: Seen[] = [];
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
      endpoints: behaviours.map((_, at) => endpoint(at)),
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
        stopping: false,
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
    Csp.go(env.scope, "serve", () => env.serveHttp("10.0.0.1:80", (incoming) => direct.serve(incoming)));
    behaviours.forEach((behave, at) => {
      const { env: endpointEnv } = this.world.start(`replica-${at}`, new SimDisk(this.world));
      const serve = (incoming: HttpExchange): Task<void> => this.serve(incoming, behave, endpointEnv);
      Csp.go(endpointEnv.scope, "serve", () => endpointEnv.serveHttp(`10.0.1.${at}:80`, serve));
    });
  }
  private *serve(incoming: HttpExchange, behave: Behaviour, env: Environment): Task<void> {
    const body = yield* incoming.body(100_000);
    if (!body.ok) return;
    const seen = {
      method: incoming.method,
      target: incoming.target,
      headers: incoming.headers,
      body: body.value.toString(),
    };
    this.seen.push(seen);
    yield* behave(incoming, seen, env);
  }
  async ask(
    path: string,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; body: string | undefined; headers: Record<string, string> }> {
    let got: { status: number; body: string | undefined; headers: Record<string, string> } | undefined;
    const { env } = this.caller;
    const bench = this;
    await this.world.run(50);
    Csp.go(env.scope, "ask", function* () {
      const response = yield* env.http("10.0.0.1:80", {
        method: "POST",
        path,
        headers: { host: "kiln.example", "x-request-id": "q1", ...headers },
        body: Buffer.from("body"),
        timeoutMs: 9000,
      });
      if (!response.ok) throw new Error(response.fault.detail);
      const reply: HttpResponse = response.value;
      got = {
        status: reply.status,
        headers: reply.headers,
        body: yield* EnvironmentTools.bodyOf(env, reply, 100_000, 9000),
      };
      bench.endedAt = bench.world.now;
    });
    await this.world.run(10_000);
    return got!;
  }
}

test("the longest path prefix of the host is found, by complete segments only", () => {
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
  const bench = new Bench({ desk: route({}) }, [
    function* (incoming) {
      incoming.send(201, { ...echo(incoming), "x-own": "7", connection: "close" }, "done");
    },
  ]);
  const got = await bench.ask("/desk/a%20b?x=1&y=%2F", { "x-extra": "e", connection: "x-hop", "x-hop": "1" });
  expect(bench.seen[0]).toMatchObject({ method: "POST", target: "/desk/a%20b?x=1&y=%2F", body: "body" });
  expect(bench.seen[0].headers).toMatchObject({ "x-extra": "e", "x-target-instance": "i0", host: "kiln.example" });
  expect(bench.seen[0].headers["x-hop"]).toBeUndefined();
  expect(got).toMatchObject({ status: 201, body: "done", headers: { "x-own": "7" } });
});
test("a request that is not idempotent is delivered once: a lost response is no promise, an explicit refusal allows another attempt", async () => {
  const cut: Behaviour = function* (incoming) {
    incoming.abort();
  };
  const lost = new Bench({ desk: route({ safe: false }) }, [cut, cut, cut]);
  expect((await lost.ask("/desk/1")).status).toBe(502);
  expect(lost.seen).toHaveLength(1);
  const notRun: Behaviour = function* (incoming) {
    incoming.send(503, { ...echo(incoming), "x-not-run": "1" }, "");
  };
  const refused = new Bench({ desk: route({ safe: false, rounds: 2 }) }, [notRun, notRun, notRun]);
  const got = await refused.ask("/desk/1");
  expect(refused.seen).toHaveLength(2);
  expect([got.status, Number(got.headers["retry-after"]) < 1]).toEqual([503, true]);
  const second = new Bench({ desk: route({ safe: false }) }, [notRun, whole]);
  expect(await second.ask("/desk/1")).toMatchObject({ status: 200, body: "reply" });
});
test("a response to another request reaches nobody; an idempotent request is retried at another endpoint", async () => {
  const stranger: Behaviour = function* (incoming) {
    incoming.send(200, { "x-request-id": "another" }, "not yours");
  };
  const unsafe = new Bench({ desk: route({ safe: false }) }, [stranger]);
  expect((await unsafe.ask("/desk/1")).status).toBe(502);
  const safe = new Bench({ desk: route({}) }, [stranger, whole]);
  expect(await safe.ask("/desk/1")).toMatchObject({ status: 200, body: "reply" });
});
test("a resumable stream continues at another endpoint after the last chunk, with each chunk once", async () => {
  const half: Behaviour = function* (incoming, seen, env) {
    const after = Number(seen.headers["last-event-id"] ?? 0);
    incoming.open(200, { ...echo(incoming), ...sse });
    for (let n = after + 1; n <= Math.min(after + 2, 6); n += 1) incoming.write(event(n));
    if (after < 4) incoming.write(event(after + 3).slice(0, 9)); // cut inside an event
    yield* EnvironmentTools.sleep(env, 20);
    if (after + 2 < 6) incoming.abort();
    else incoming.end();
  };
  const stream = { kind: "stream" as const, continues: "exact" as const };
  const bench = new Bench({ desk: route(stream) }, [half, half, half]);
  expect(await bench.ask("/desk/1")).toMatchObject({
    status: 200,
    body: [1, 2, 3, 4, 5, 6].map((n) => event(n)).join(""),
  });
  const ended = new Bench({ desk: route({ ...stream, safe: false, continues: "no" }) }, [half, half]);
  expect((await ended.ask("/desk/1")).body).toBeUndefined(); // cut, never ended as if whole
  expect(ended.seen).toHaveLength(1);
});
test("a stream that skips or repeats an event is not relayed past it", async () => {
  const skips: Behaviour = function* (incoming) {
    incoming.open(200, { ...echo(incoming), ...sse });
    incoming.write(event(1) + event(3));
    incoming.end();
  };
  const bench = new Bench({ desk: route({ kind: "stream", safe: false }) }, [skips]);
  expect((await bench.ask("/desk/1")).body).toBeUndefined();
});
test("a silent endpoint is replaced by another one for an idempotent request, and is not asked again at once", async () => {
  const dark: Behaviour = function* (incoming) {
    yield* Csp.take(incoming.gone);
  };
  const bench = new Bench({ desk: route({}) }, [dark, whole]);
  for (let n = 0; n < 3; n += 1) expect((await bench.ask(`/desk/${n}`)).status).toBe(200);
  expect(bench.seen.filter((seen) => seen.headers["x-target-instance"] === "i0").length).toBeLessThanOrEqual(2);
});

const signed: HeaderNames = { ...defaultHeaderNames, endpointSignature: "x-signature" };
const failing = (status: number, more: Record<string, string> = {}): Behaviour =>
  function* (incoming) {
    incoming.send(status, { ...echo(incoming), "x-signature": "s1", ...more }, "no");
  };
test("a promise that an endpoint did not give is not relayed: 502 without its signature; other failures keep status and signature", async () => {
  for (const kind of ["lookup", "stream"] as const)
    for (const status of [503, 429, 408]) {
      const bench = new Bench({ desk: route({ kind, safe: false }) }, [failing(status), failing(status)], signed);
      const got = await bench.ask("/desk/1");
      expect([status, got.status, got.headers["x-signature"], got.headers["retry-after"]]).toEqual([
        status,
        502,
        undefined,
        undefined,
      ]);
      expect(bench.seen).toHaveLength(1);
    }
  for (const status of [500, 504, 422, 404]) {
    const bench = new Bench({ desk: route({ safe: false }) }, [failing(status)], signed);
    expect(await bench.ask("/desk/1")).toMatchObject({ status, headers: { "x-signature": "s1" }, body: "no" });
  }
});
test("an idempotent request is retried elsewhere after such a failure, and ends without a promise once no attempt is left", async () => {
  for (const status of [503, 429, 408]) {
    const saved = new Bench({ desk: route({}) }, [failing(status), failing(200)], signed);
    expect((await saved.ask("/desk/1")).status).toBe(200);
    const bench = new Bench(
      { desk: route({ rounds: 2 }) },
      [1, 2, 3].map(() => failing(status)),
      signed,
    );
    const got = await bench.ask("/desk/1");
    expect([got.status, got.headers["x-signature"], bench.seen.length]).toEqual([502, undefined, 2]);
  }
});
test("only a refusal with this request's id allows another attempt: one of another request does not", async () => {
  const others: Behaviour = function* (incoming) {
    incoming.send(503, { "x-request-id": "another", "x-not-run": "1" }, "");
  };
  const bench = new Bench({ desk: route({ safe: false }) }, [others, others]);
  expect((await bench.ask("/desk/1")).status).toBe(502);
  expect(bench.seen).toHaveLength(1);
  const moved = new Bench({ desk: route({ safe: false }) }, [failing(421), whole]);
  expect((await moved.ask("/desk/1")).status).toBe(200);
});
test("a single response with a status that promises, but without the endpoint's refusal, is a failure and no response", async () => {
  const world = new SimWorld(5, () => undefined);
  const server = world.start("replica", new SimDisk(world));
  let status = 0;
  Csp.go(server.env.scope, "serve", () =>
    server.env.serveHttp("10.0.1.0:80", function* (incoming) {
      incoming.send(status, {}, "{}");
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
    const response = await world.finish(caller, () => EndpointHttp.single(caller.env, endpoint(0), delivery), 2000);
    expect(response).toMatchObject({ ok: false, fault: { tag: "broken" } });
  }
});
test("no more endpoints run one request than its route's attempts, counting resumed streams and attempts that may have run", async () => {
  const oneEvent: Behaviour = function* (incoming, seen, env) {
    incoming.open(200, { ...echo(incoming), ...sse });
    incoming.write(event(Number(seen.headers["last-event-id"] ?? 0) + 1));
    yield* EnvironmentTools.sleep(env, 5);
    incoming.abort();
  };
  const cut: Behaviour = function* (incoming) {
    incoming.abort();
  };
  const dark: Behaviour = function* (incoming) {
    yield* Csp.take(incoming.gone);
  };
  const stream = { kind: "stream" as const, continues: "exact" as const };
  const five = (behaviour: Behaviour): Behaviour[] => Array.from({ length: 5 }, () => behaviour);
  for (const rounds of [1, 2, 4]) {
    const streams = new Bench({ desk: route({ ...stream, rounds }) }, five(oneEvent));
    expect((await streams.ask("/desk/1")).body).toBeUndefined();
    expect(streams.seen).toHaveLength(rounds);
    for (const behaviour of [cut, dark]) {
      const lookups = new Bench({ desk: route({ rounds }) }, five(behaviour));
      expect([502, 504]).toContain((await lookups.ask("/desk/1")).status);
      expect(lookups.seen).toHaveLength(rounds);
    }
  }
});
test("a lookup by route name is limited to its route's attempts too", async () => {
  const world = new SimWorld(5, () => undefined);
  const { env } = world.start("ingress", new SimDisk(world));
  let runs = 0;
  for (const at of [0, 1, 2]) {
    const server = world.start(`replica-${at}`, new SimDisk(world));
    Csp.go(server.env.scope, "serve", () =>
      server.env.serveHttp(`10.0.1.${at}:80`, function* (incoming) {
        runs += 1;
        incoming.abort();
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
  const accepted = { name: "desk", route: route({ rounds: 1 }), caller: "", order: 1, cause: {}, deadlineMs: 3000 };
  await world.run(50);
  const outcomes: Result<CallerResponse>[] = [];
  const handle = requestTable.open((outcome) => outcomes.push(outcome))!;
  Csp.go(env.scope, "lookup", () => lookups.run(handle, "q1", accepted, "{}"));
  await world.run(5000);
  expect([outcomes.length, outcomes[0].ok, runs]).toEqual([1, false, 1]);
});
test("no request is pending past its route's deadline, nor rejected later than a quarter of its latency target where no endpoint has capacity", async () => {
  const dark: Behaviour = function* (incoming) {
    yield* Csp.take(incoming.gone);
  };
  const drips: Behaviour = function* (incoming, _seen, env) {
    incoming.open(200, echo(incoming));
    for (; !incoming.gone.isClosed();) {
      incoming.write("x");
      yield* EnvironmentTools.sleep(env, 100);
    }
  };
  const dripsEvents: Behaviour = function* (incoming, _seen, env) {
    incoming.open(200, { ...echo(incoming), ...sse });
    for (let n = 1; !incoming.gone.isClosed(); n += 1) {
      incoming.write(event(n));
      yield* EnvironmentTools.sleep(env, 100);
    }
  };
  const took = async (bench: Bench): Promise<[number | undefined, number]> => {
    const startedAt = bench.world.now + 50;
    const status = await bench.ask("/desk/1").then((got) => got.status);
    return [status, bench.endedAt - startedAt];
  };
  for (const safe of [true, false])
    for (const behaviour of [dark, drips, dripsEvents]) {
      const kind = behaviour === dripsEvents ? "stream" : "lookup";
      const [, heldMs] = await took(new Bench({ desk: route({ kind, safe, deadlineMs: 1000 }) }, [behaviour]));
      expect(heldMs).toBeLessThan(1250);
    }
  const [status, heldMs] = await took(new Bench({ desk: route({ pool: "none", targetMs: 400 }) }, [dark]));
  expect(status).toBe(503);
  expect(heldMs).toBeLessThan(100 + 20); // and the ways there and back
});

test("a clock that is not trusted keeps batch jobs out, which are stamped, but not requests that are only forwarded", async () => {
  const routes = { a: route({}), jobs: route({ kind: "item", prefix: "/jobs/" }) };
  const bench = new Bench(routes, [whole], defaultHeaderNames, false);
  expect((await bench.ask("/desk/1")).status).toBe(200);
  const job = await bench.ask("/jobs/1");
  expect(job.status).toBe(503);
  expect(Number(job.headers["retry-after"])).toBeGreaterThan(0);
  expect(bench.seen).toHaveLength(1);
});
