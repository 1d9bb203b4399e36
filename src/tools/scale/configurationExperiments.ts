import { Experiment, Processor } from "./experiment";
import { SimulatedMembership } from "./simulatedMembership";

const members = 30;
const rounds = 3;
const waitMs = 10_000;

type Spread = { bytes: number; processorMs: number; inForceMs: number };

/** One configuration after another at one member: what each costs a member until all have it. */
async function spread(
  membership: SimulatedMembership,
  idleBytes: number,
  one: (round: number) => Promise<number | undefined>,
): Promise<Spread> {
  const times: number[] = [];
  const processor = Processor.now();
  const before = membership.placedMembers.map((each) => each.meter.copy());
  const from = membership.world.now;
  for (let round = 1; round <= rounds; round += 1) {
    times.push((await one(round)) ?? NaN);
    await membership.world.run(500);
  }
  const bytes =
    membership.placedMembers.reduce((sum, each, at) => sum + each.meter.since(before[at]).bytes, 0) / members;
  const idle = (idleBytes * (membership.world.now - from)) / 1000;
  return {
    bytes: Math.max(0, bytes - idle) / rounds,
    processorMs: Processor.since(processor) / members / rounds,
    inForceMs: Math.max(...times),
  };
}
async function measure(routes: number, seed: number): Promise<Record<string, number>> {
  const membership = new SimulatedMembership({ members, endpoints: 0, zones: 25, regions: 7, seed });
  await membership.boot(60_000);
  await membership.world.run(12_000);
  const quiet = await membership.measureRates(10_000);
  const whole = await spread(membership, quiet.bytes, (round) => membership.spread(routes, round, waitMs));
  const one = await spread(membership, quiet.bytes, (round) => membership.spreadChange(rounds + round, waitMs));
  membership.end();
  return {
    wholeBytes: whole.bytes,
    wholeProcessorMs: whole.processorMs,
    oneBytes: one.bytes,
    oneProcessorMs: one.processorMs,
    inForceMs: Math.max(whole.inForceMs, one.inForceMs),
  };
}

/**
 * A configuration on its way to every member, whole, against the bindings in it.
 *
 * @example
 * const measured = await ManifestScale.bindings.measure(1000, 1);
 */
export const ConfigurationExperiments = {
  /** @example await ManifestScale.bindings.measure(1000, 1) */
  routes: {
    description:
      "A configuration fetched by 30 members against its bindings, virtual time (which no processor time delays).",
    unit: "binding",
    sizes: [100, 1000, 3000, 6000],
    bound: {
      name: "bindings",
      min: 1,
      max: 60_000,
      reason: "an operator's manifest is refused past 8 MB, which is about as many",
    },
    metrics: {
      wholeBytes: { description: "bytes put out a member a change of the whole", isDeterministic: true },
      oneBytes: { description: "bytes put out a member a change of one binding", isDeterministic: true },
      wholeProcessorMs: {
        description: "ms of processor a member a change of the whole, the simulator's share among them",
        isDeterministic: false,
      },
      oneProcessorMs: {
        description: "ms of processor a member a change of one binding, the simulator's share among them",
        isDeterministic: false,
      },
      inForceMs: { description: "ms until every member has it, at most", isDeterministic: true },
    },
    measure,
  } as Experiment,
};
