import { Experiment, CpuTime } from "./experiment";
import { SimulatedMembership } from "./simulatedMembership";

const MEMBERS = 30;
const ROUNDS = 3;
const TIMEOUT_MS = 10_000;

type DistributionCosts = { bytes: number; processorMs: number; inForceMs: number };

/** Offers one configuration after another at one member; returns the costs of one, per member, until all members have it. */
async function measureDistribution(
  membership: SimulatedMembership,
  idleBytesPerSecond: number,
  distribute: (round: number) => Promise<number | undefined>,
): Promise<DistributionCosts> {
  const timesMs: number[] = [];
  const cpuBefore = CpuTime.now();
  const before = membership.placedMembers.map((member) => member.meter.copy());
  const startedAt = membership.world.now;
  for (let round = 1; round <= ROUNDS; round += 1) {
    timesMs.push((await distribute(round)) ?? NaN);
    await membership.world.run(500);
  }
  const bytes =
    membership.placedMembers.reduce((sum, member, index) => sum + member.meter.since(before[index]).bytes, 0) / MEMBERS;
  const idleBytes = (idleBytesPerSecond * (membership.world.now - startedAt)) / 1000;
  return {
    bytes: Math.max(0, bytes - idleBytes) / ROUNDS,
    processorMs: CpuTime.msSince(cpuBefore) / MEMBERS / ROUNDS,
    inForceMs: Math.max(...timesMs),
  };
}
async function measure(routes: number, seed: number): Promise<Record<string, number>> {
  const membership = new SimulatedMembership({ members: MEMBERS, endpoints: 0, zones: 25, regions: 7, seed });
  await membership.boot(60_000);
  await membership.world.run(12_000);
  const idle = await membership.measureRates(10_000);
  const whole = await measureDistribution(membership, idle.bytes, (round) =>
    membership.distributeSnapshot(routes, round, TIMEOUT_MS),
  );
  const one = await measureDistribution(membership, idle.bytes, (round) =>
    membership.distributeRouteChange(ROUNDS + round, TIMEOUT_MS),
  );
  membership.end();
  return {
    wholeBytes: whole.bytes,
    wholeProcessorMs: whole.processorMs,
    oneBytes: one.bytes,
    oneProcessorMs: one.processorMs,
    inForceMs: Math.max(whole.inForceMs, one.inForceMs),
  };
}

/** Measures what it costs by the number of routes to bring a configuration to every member. */
export const ConfigurationExperiments = {
  routes: {
    description:
      "A configuration fetched by 30 members, by the number of its routes: virtual time, which does not include processor time.",
    unit: "route",
    sizes: [100, 1000, 3000, 6000],
    bound: {
      name: "bindings",
      min: 1,
      max: 60_000,
      reason: "a configuration of more than 8 MB, which is about as many routes, is rejected",
    },
    metrics: {
      wholeBytes: { description: "bytes sent per member when all routes change", isDeterministic: true },
      oneBytes: { description: "bytes sent per member when one route changes", isDeterministic: true },
      wholeProcessorMs: {
        description: "ms of processor time per member when all routes change, including the simulator's",
        isDeterministic: false,
      },
      oneProcessorMs: {
        description: "ms of processor time per member when one route changes, including the simulator's",
        isDeterministic: false,
      },
      inForceMs: { description: "ms until every member has the configuration, maximum", isDeterministic: true },
    },
    measure,
  } as Experiment,
};
