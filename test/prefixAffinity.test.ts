import { defaultHeaderNames } from "../src/forwarding/headerNames";
import type { Route } from "../src/controlState/configuration";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { readDirectRequest, selectionCriteria } from "../src/ingress/pendingDirectRequest";
import type { ClusterSnapshot } from "../src/node/clusterSnapshot";
import { EndpointSelector } from "../src/routing/endpointSelector";
import { affinityPrefix, parsePrompt } from "../src/routing/prompt";
import type { HttpExchange } from "../src/runtime/env";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";
import { modelEndpoint } from "./modelEndpoint";

const endpointCount = 20;
const senderCount = 50;
const requestCount = 400;
const route: Route = {
  kind: "stream",
  pool: "model",
  path: "/",
  safe: false,
  deadlineMs: 4000,
  continues: "no",
  prefixBytes: 0,
  host: "shop.example",
  prefix: "/ask/",
  targetMs: 250,
  affinity: true,
};

/** A sender's request with this prompt, as far as its choice needs it. */
const exchangeWith = (promptParts: string): HttpExchange =>
  ({
    method: "POST",
    target: "/ask/1",
    headers: { [defaultHeaderNames.promptParts]: promptParts },
  }) as unknown as HttpExchange;

/** Requests per endpoint, where each request comes to one of many senders that don't see each other's requests. */
function distribute(promptParts: (request: number) => string): number[] {
  const world = new SimWorld(7, () => undefined);
  const { env } = world.start("ingress", new SimDisk(world));
  const selectors = Array.from({ length: senderCount }, (_none, at) => new EndpointSelector(env, `sender-${at}`));
  const manifest = { version: 1, doc: { bindings: { ask: route } } };
  const snapshot: ClusterSnapshot = {
    revision: 1,
    control: ControlSnapshot.of({ ...ControlState.empty(), manifest }, 1),
    members: [],
    endpoints: Array.from({ length: endpointCount }, (_none, at) => modelEndpoint(at)),
    overloadedPools: {},
    isCurrent: true,
    clockTrusted: true,
  };
  const counts = new Map<string, number>();
  for (let request = 0; request < requestCount; request += 1) {
    const exchange = exchangeWith(promptParts(request));
    const pending = readDirectRequest(env, defaultHeaderNames, exchange, { name: "ask", route }, Buffer.alloc(0), 0, 1);
    if (!pending.ok) throw new Error("the request was refused");
    const chosen = selectors[request % senderCount].choose(selectionCriteria(pending.value, snapshot, new Set()))!;
    counts.set(chosen.key, (counts.get(chosen.key) ?? 0) + 1);
  }
  return [...counts.values()];
}

describe("prefix affinity", () => {
  test("a shared prefix that is read in a moment does not gather the requests of many senders at one endpoint", () => {
    const counts = distribute((request) => `system:103,session-${request % 8}:60,own-${request}:400`);
    expect(counts).toHaveLength(endpointCount);
    expect(Math.max(...counts)).toBeLessThan((2 * requestCount) / endpointCount);
  });

  test("a shared prefix that takes long to read brings all senders' requests to the endpoint that has it", () => {
    const counts = distribute((request) => `history:13000,own-${request}:3000`);
    expect(Math.max(...counts)).toBe(requestCount);
  });

  test("a prefix attracts from a tenth of the latency target on, and by its deepest shared part", () => {
    expect(affinityPrefix(parsePrompt("system:1000,session:1600,own:9000"), 250)).toBe("session");
    expect(affinityPrefix(parsePrompt("system:1000,session:1400,own:9000"), 250)).toBe("");
    expect(affinityPrefix(parsePrompt("own:90000"), 250)).toBe("");
    expect(affinityPrefix(parsePrompt(""), 250)).toBe("");
  });
});
