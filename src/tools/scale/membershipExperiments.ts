import { Experiment, CpuTime } from "./experiment";
import { Heap } from "./heap";
import { SimulatedMembership } from "./simulatedMembership";

const BOUND = { name: "members", min: 10, max: 1000, reason: "virtual time holds all of them in one process" };
/** Time during which datagrams still spread that members have joined. */
const settleMs = (members: number): number => 6000 + 180 * members;
const MEASURED_MS = 10_000;

async function measure(members: number, endpoints: number, seed: number): Promise<Record<string, number>> {
  const heapBefore = Heap.usedBytes();
  const membership = new SimulatedMembership({ members, endpoints, zones: 25, regions: 7, seed });
  const allKnownMs = await membership.boot(120_000);
  await membership.world.run(settleMs(members));
  const cpuBefore = CpuTime.now();
  const suspicions = membership.suspicions;
  const rates = await membership.measureRates(MEASURED_MS);
  const processorMs = CpuTime.msSince(cpuBefore) / members / (MEASURED_MS / 1000);
  const falseSuspicions = membership.suspicions - suspicions;
  const heapKB = (Heap.usedBytes() - heapBefore) / members / 1000;
  const knownEndpoints = membership.runningMembers().map((member) => member.endpointCount());
  const killed = await membership.killMembers((member) => member.name === "hollow-9", 30_000);
  membership.end();
  return {
    datagrams: rates.datagrams,
    frames: rates.frames,
    bytes: rates.bytes,
    links: rates.links,
    wakeUps: rates.wakeUps,
    processorMs,
    heapKB,
    allKnownMs: allKnownMs ?? NaN,
    deadKnownMs: killed.tookMs ?? NaN,
    falseSuspicions,
    replicasUnknown: endpoints - Math.min(...knownEndpoints),
  };
}
const METRICS = {
  datagrams: { description: "datagrams per member per second", isDeterministic: true },
  frames: { description: "frames over TCP per member per second", isDeterministic: true },
  bytes: { description: "bytes sent per member per second, including headers", isDeterministic: true },
  links: { description: "connections opened per member per second", isDeterministic: true },
  wakeUps: { description: "timers that fire per member per second", isDeterministic: true },
  processorMs: {
    description: "ms of processor time per member per second, including the simulator's",
    isDeterministic: false,
  },
  heapKB: { description: "KB of heap per member, including the simulator's", isDeterministic: false },
};

/** Measures what membership and gossip cost by the number of members, with a few endpoints, and by the number of endpoints. */
export const MembershipExperiments = {
  members: {
    description:
      "Membership and gossip by the number of members, with 17 endpoints that announce themselves: virtual time.",
    unit: "member",
    sizes: [30, 60, 120, 240],
    bound: BOUND,
    metrics: {
      ...METRICS,
      allKnownMs: { description: "ms from the start until every member knows every other", isDeterministic: true },
      deadKnownMs: { description: "ms until all members know that one is dead", isDeterministic: true },
    },
    measure: (size: number, seed: number) => measure(size, 17, seed),
  } as Experiment,
  endpoints: {
    description:
      "Membership and gossip of 30 members by the number of endpoints, whose load differs in each announcement: virtual time.",
    unit: "endpoint",
    sizes: [17, 50, 100, 200],
    bound: { name: "replicas", min: 1, max: 3000, reason: "each member of the simulated fleet holds all of them" },
    metrics: METRICS,
    measure: (size: number, seed: number) => measure(30, size, seed),
  } as Experiment,
};
