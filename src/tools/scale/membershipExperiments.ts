import { Experiment, Processor } from "./experiment";
import { Heap } from "./heap";
import { SimulatedMembership } from "./simulatedMembership";

const bound = { name: "members", least: 10, most: 1000, why: "virtual time holds all of them in one process" };
const settleMs = (members: number): number => 6000 + 180 * members; // who joined is passed on in datagrams for so long
const overMs = 10_000;

async function measure(members: number, endpoints: number, seed: number): Promise<Record<string, number>> {
  const before = Heap.used();
  const membership = new SimulatedMembership({ members, endpoints: endpoints, zones: 25, regions: 7, seed });
  const allKnown = await membership.boot(120_000);
  await membership.world.run(settleMs(members));
  const processor = Processor.now();
  const suspicions = membership.suspicions;
  const spent = await membership.measureRates(overMs);
  const processorMs = Processor.since(processor) / members / (overMs / 1000);
  const falseSuspicions = membership.suspicions - suspicions;
  const heap = (Heap.used() - before) / members / 1000;
  const known = membership.runningMembers().map((member) => member.endpointCount());
  const dead = await membership.killMembers((each) => each.name === "hollow-9", 30_000);
  membership.end();
  return {
    datagrams: spent.datagrams,
    frames: spent.frames,
    bytes: spent.bytes,
    links: spent.links,
    wakeUps: spent.wakeUps,
    processorMs,
    heapKB: heap,
    allKnownMs: allKnown ?? NaN,
    deadKnownMs: dead.tookMs ?? NaN,
    falseSuspicions,
    replicasUnknown: endpoints - Math.min(...known),
  };
}
const metrics = {
  datagrams: { what: "datagrams a member a second", counted: true },
  frames: { what: "frames over TCP a member a second", counted: true },
  bytes: { what: "bytes put out a member a second, headers among them", counted: true },
  links: { what: "connections made a member a second", counted: true },
  wakeUps: { what: "timers that fire a member a second", counted: true },
  processorMs: { what: "ms of processor a member a second, its share of the simulator's among them", counted: false },
  heapKB: { what: "KB of heap a member, its share of the simulator's among them", counted: false },
};

/**
 * Membership and news against the number of members, with a few replicas, and against the number of replicas.
 *
 * @example
 * const measured = await MemberScale.members.measure(60, 1);
 */
export const MembershipExperiments = {
  /** @example await MemberScale.members.measure(60, 1) */
  members: {
    description: "Membership and news against members, 17 replicas that announce themselves, virtual time.",
    unit: "member",
    sizes: [30, 60, 120, 240],
    bound,
    metrics: {
      ...metrics,
      allKnownMs: { description: "ms from the start of all until each knows each", isDeterministic: true },
      deadKnownMs: { description: "ms until all know that one is dead", isDeterministic: true },
    },
    measure: (size: number, seed: number) => measure(size, 17, seed),
  } as Experiment,
  /** @example await MemberScale.replicas.measure(100, 1) */
  endpoints: {
    description:
      "Membership and news against replicas whose load changes with each announcement, 30 members, virtual time.",
    unit: "replica",
    sizes: [17, 50, 100, 200],
    bound: { name: "replicas", min: 1, max: 3000, reason: "each member of the simulated fleet holds all of them" },
    metrics,
    measure: (size: number, seed: number) => measure(30, size, seed),
  } as Experiment,
  /** Everything of one size, with what is no slope. @example await MemberScale.whole(780, 100, 1) */
  whole: measure,
};
