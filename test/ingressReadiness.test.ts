import type { AgentLink } from "../src/ingress/agentLink";
import { IngressCounters } from "../src/ingress/ingressCounters";
import { IngressReadiness } from "../src/ingress/ingressReadiness";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import type { ClusterSnapshot, Endpoint } from "../src/node/clusterSnapshot";
import { EndpointStates } from "../src/routing/endpointStates";
import { SlowStart } from "../src/routing/slowStart";
import { SimDisk } from "../src/simulation/simDisk";
import { SimWorld } from "../src/simulation/simWorld";

const world = new SimWorld(1, () => undefined);
const { env } = world.start("ingress", new SimDisk(world));
const manifest = { version: 1, doc: { bindings: {} } };
const snapshotWith = (overrides: Partial<ClusterSnapshot>): ClusterSnapshot => ({
  revision: 1,
  control: ControlSnapshot.of({ ...ControlState.empty(), manifest }, 1),
  members: [],
  endpoints: [],
  overloadedPools: {},
  isCurrent: true,
  clockTrusted: true,
  ...overrides,
});
const readinessWith = (overrides: Partial<ClusterSnapshot>): IngressReadiness => {
  const link: Partial<AgentLink> = {
    snapshot: () => snapshotWith(overrides),
    isStale: () => false,
    isConfirmed: () => true,
  };
  const readiness = new IngressReadiness(env, link as AgentLink, new IngressCounters());
  readiness.warmedUp = true;
  return readiness;
};

describe("readiness of an ingress", () => {
  test("without a trusted clock it reports that it is unready, and still forwards requests", () => {
    const readiness = readinessWith({ clockTrusted: false });
    expect(readiness.unreadyReason()).toBe("clock not vouched for");
    expect(readiness.clockReason()).toBe("clock not vouched for");
    expect(readiness.rejectReason()).toBeUndefined();
  });

  test("without a current configuration it rejects all requests", () => {
    expect(readinessWith({ isCurrent: false }).rejectReason()).toBe("no fresh frame");
    expect(readinessWith({ control: undefined }).rejectReason()).toBe("no manifest yet");
    expect(readinessWith({}).rejectReason()).toBeUndefined();
    expect(readinessWith({}).unreadyReason()).toBeUndefined();
  });

  test("before its warm-up requests have ended it rejects all requests", () => {
    const readiness = readinessWith({});
    readiness.warmedUp = false;
    expect(readiness.unreadyReason()).toBe("rehearsing");
    expect(readiness.rejectReason()).toBe("rehearsing");
  });

  test("while it is stopping it reports that it is unready, and still serves requests", () => {
    const readiness = readinessWith({});
    readiness.stopping = true;
    expect(readiness.unreadyReason()).toBe("stopping");
    expect(readiness.rejectReason()).toBeUndefined();
  });

  test("without a trusted clock an endpoint that announced a warm-up still counts as warming up", () => {
    const slowStart = new SlowStart(env, "ingress-1", new EndpointStates(env));
    const endpoint = { warmAt: env.wallClockMs() - 60_000 } as Endpoint;
    expect(slowStart.isWarmingUp(endpoint, true)).toBe(false);
    expect(slowStart.isWarmingUp(endpoint, false)).toBe(true);
    expect(slowStart.isWarmingUp({ warmAt: 0 } as Endpoint, false)).toBe(false);
  });
});
