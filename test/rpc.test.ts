import { Result } from "../src/common/fault";
import { ControlClient } from "../src/node/controlClient";
import { Csp } from "../src/runtime/csp";
import { Link } from "../src/runtime/env";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { Rpc } from "../src/rpc/rpc";
import { Envelope, EnvelopeCodec } from "../src/rpc/envelopeCodec";

const address = "10.0.0.1:7";
let world: SimWorld;
let client: SimProcess;
let rpc: Rpc;
beforeEach(() => {
  world = new SimWorld(3, () => undefined);
  client = world.start("client", new SimDisk(world));
  rpc = new Rpc(client.env, "a", "c");
});
afterEach(() => expect(client.errors).toEqual([]));
/** Encodes a response that echoes the body of a request. */
const responseTo = (request: Envelope, overrides: Partial<Envelope> = {}): Buffer =>
  EnvelopeCodec.encode({ ...request, kind: "response", sender: "s", body: request.body, ...overrides });
/** Starts a server process that passes each request to `respond`. */
function startServer(respond: (link: Link, request: Envelope) => void): SimProcess {
  const server = world.start("server", new SimDisk(world));
  Csp.go(server.env.scope, "serve", function* () {
    const links = yield* server.env.listen(address);
    if (!links.ok) return;
    for (let link = yield* Csp.take(links.value); link !== null; link = yield* Csp.take(links.value)) {
      const current: Link = link;
      Csp.go(server.env.scope, "link", function* () {
        for (let frame = yield* Csp.take(current.incoming); frame !== null; frame = yield* Csp.take(current.incoming))
          respond(current, EnvelopeCodec.decode(frame, "a")!);
      });
    }
  });
  return server;
}
/** Starts concurrent calls whose bodies are their indexes; returns the list of outcomes, in the order of completion. */
const startCalls = (count: number, timeoutMs = 300): Result<unknown>[] => {
  const outcomes: Result<unknown>[] = [];
  for (let index = 0; index < count; index += 1)
    Csp.go(client.env.scope, `call ${index}`, function* () {
      outcomes.push(yield* rpc.call(address, "echo", index, timeoutMs));
    });
  return outcomes;
};

test("a late or duplicate response, or one to another method, is dropped and counted, and completes no other call", async () => {
  const delayed: (() => void)[] = [];
  startServer((link, request) => {
    if (request.body === 0) delayed.push(() => link.send(responseTo(request)));
    else for (const method of ["other", request.method, request.method]) link.send(responseTo(request, { method }));
  });
  await world.run(50);
  const outcomes = startCalls(2, 100);
  await world.run(300);
  expect(outcomes).toEqual([
    { ok: true, value: 1 },
    { ok: false, fault: expect.objectContaining({ tag: "timeout" }) },
  ]);
  delayed.forEach((send) => send());
  await world.run(50);
  expect(rpc.lateResponseCount).toBe(3);
});
test("the end of a connection fails every pending call once", async () => {
  startServer(() => undefined);
  await world.run(50);
  const outcomes = startCalls(5, 5000);
  await world.run(100);
  expect(outcomes).toEqual([]);
  world.kill("server");
  await world.run(6000);
  expect(outcomes.map((each) => !each.ok && each.fault.tag)).toEqual(Array.from({ length: 5 }, () => "broken"));
});
test("the responses of a process restarted at the same address complete no calls to its predecessor", async () => {
  startServer(() => undefined);
  await world.run(50);
  const callsToPredecessor = startCalls(3, 5000);
  await world.run(100);
  world.kill("server");
  // The new process responds to the correlation id of each request and to all lower ones.
  startServer((link, request) => {
    for (let correlationId = 1; correlationId <= request.correlationId; correlationId += 1)
      link.send(responseTo(request, { correlationId, body: `new ${correlationId}` }));
  });
  await world.run(200);
  const callsToSuccessor = startCalls(1, 1000);
  await world.run(6000);
  expect(callsToPredecessor.every((each) => !each.ok)).toBe(true);
  expect(callsToSuccessor).toEqual([{ ok: true, value: "new 4" }]);
  expect(rpc.lateResponseCount).toBe(3);
});
test("a malformed fault is reported as broken, and a request instead of a response ends the connection", async () => {
  const bodies = [null, 7, {}, { tag: "constructor", step: "", member: "", detail: "" }, { tag: "busy", step: "a" }];
  startServer((link, request) => {
    const body = bodies[Number(request.body)];
    link.send(responseTo(request, { kind: request.body === bodies.length ? "request" : "error", body }));
  });
  await world.run(50);
  const outcomes = startCalls(bodies.length + 1);
  await world.run(1000);
  expect(outcomes.map((each) => !each.ok && each.fault.tag)).toEqual([...bodies, "the request"].map(() => "broken"));
});
test("a body that makes a handler throw causes the fault internal, and the process survives", async () => {
  const server = world.start("server", new SimDisk(world));
  const serverRpc = new Rpc(server.env, "a", "s");
  serverRpc.handle("echo", function* (body: { deep: { text: string } }) {
    return { ok: true, value: body.deep.text.length };
  });
  Csp.go(server.env.scope, "serve", () => serverRpc.serve(address));
  await world.run(50);
  const outcomes = startCalls(2);
  await world.run(500);
  expect(outcomes.map((each) => !each.ok && each.fault.tag)).toEqual(["internal", "internal"]);
  expect(server.alive).toBe(true);
});
test("a request that arrives before its handler is set gets the fault refused, since it has not run", async () => {
  const server = world.start("server", new SimDisk(world));
  const serverRpc = new Rpc(server.env, "a", "s");
  Csp.go(server.env.scope, "serve", () => serverRpc.serve(address));
  await world.run(50);
  const early = startCalls(1);
  await world.run(50);
  expect(early).toMatchObject([{ ok: false, fault: { tag: "refused", step: "echo", member: "s" } }]);
  serverRpc.handle("echo", function* (body: unknown) {
    return { ok: true as const, value: body };
  });
  const later = startCalls(1);
  await world.run(50);
  expect(later).toEqual([{ ok: true, value: 0 }]);
});
test("a control request that reaches a process before its handlers are set is retried, not rejected", async () => {
  const server = world.start("server", new SimDisk(world));
  const serverRpc = new Rpc(server.env, "a", "s");
  Csp.go(server.env.scope, "serve", () => serverRpc.serve(address));
  await world.run(50);
  const control = new ControlClient(client.env, rpc, () => [address]);
  const outcomes: Result<unknown>[] = [];
  Csp.go(client.env.scope, "order", function* () {
    outcomes.push(yield* control.request({ op: "read", what: "manifest" }, 2000));
  });
  await world.run(100);
  expect(outcomes).toEqual([]);
  serverRpc.handle("control.op", function* () {
    return { ok: true as const, value: "configuration" };
  });
  await world.run(1000);
  expect(outcomes).toEqual([{ ok: true, value: "configuration" }]);
});
