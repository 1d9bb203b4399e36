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

const ENDPOINT_COUNT = 20;
const SENDER_COUNT = 50;
const REQUEST_COUNT = 400;
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

/** A request with this prompt, with only the fields that endpoint selection needs. */
const exchangeWith = (promptParts: string): HttpExchange =>
  ({
    method: "POST",
    target: "/ask/1",
    headers: { [defaultHeaderNames.promptParts]: promptParts },
  }) as unknown as HttpExchange;

/** Counts the requests per endpoint when each is handled by one of many senders that do not see each other's requests. */
function distribute(promptParts: (request: number) => string): number[] {
  const world = new SimWorld(7, () => undefined);
  const { env } = world.start("ingress", new SimDisk(world));
  const selectors = Array.from(
    { length: SENDER_COUNT },
    (_none, index) => new EndpointSelector(env, `sender-${index}`),
  );
  const manifest = { version: 1, doc: { bindings: { ask: route } } };
  const snapshot: ClusterSnapshot = {
    revision: 1,
    control: ControlSnapshot.of({ ...ControlState.empty(), manifest }, 1),
    members: [],
    endpoints: Array.from({ length: ENDPOINT_COUNT }, (_none, index) => modelEndpoint(index)),
    overloadedPools: {},
    isCurrent: true,
    clockTrusted: true,
  };
  const counts = new Map<string, number>();
  for (let request = 0; request < REQUEST_COUNT; request += 1) {
    const exchange = exchangeWith(promptParts(request));
    const pending = readDirectRequest(env, defaultHeaderNames, exchange, { name: "ask", route }, Buffer.alloc(0), 0, 1);
    if (!pending.ok) throw new Error("the request could not be read");
    const chosen = selectors[request % SENDER_COUNT].choose(selectionCriteria(pending.value, snapshot, new Set()))!;
    counts.set(chosen.key, (counts.get(chosen.key) ?? 0) + 1);
  }
  return [...counts.values()];
}

describe("prefix affinity", () => {
  test("a shared prefix with a short prefill does not concentrate the requests of many senders at one endpoint", () => {
    const counts = distribute((request) => `system:103,session-${request % 8}:60,own-${request}:400`);
    expect(counts).toHaveLength(ENDPOINT_COUNT);
    expect(Math.max(...counts)).toBeLessThan((2 * REQUEST_COUNT) / ENDPOINT_COUNT);
  });

  test("a shared prefix with a long prefill sends the requests of all senders to the same endpoint", () => {
    const counts = distribute((request) => `history:13000,own-${request}:3000`);
    expect(Math.max(...counts)).toBe(REQUEST_COUNT);
  });

  test("affinity applies to a prefix whose prefill takes at least a tenth of the latency target, and uses its last shared part", () => {
    expect(affinityPrefix(parsePrompt("system:1000,session:1600,own:9000"), 250)).toBe("session");
    expect(affinityPrefix(parsePrompt("system:1000,session:1400,own:9000"), 250)).toBe("");
    expect(affinityPrefix(parsePrompt("own:90000"), 250)).toBe("");
    expect(affinityPrefix(parsePrompt(""), 250)).toBe("");
  });
});
