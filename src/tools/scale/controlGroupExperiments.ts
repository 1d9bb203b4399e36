import { Command } from "../../controlState/command";
import { Experiment, Processor } from "./experiment";
import { SimulatedControlGroup } from "./simulatedControlGroup";
import { SimulatedMembership } from "./simulatedMembership";
import { Meter } from "./meter";

const changes = 10;
/** A change of the whole manifest, made against the version before. */
const change = (routes: number, version: number): Command => ({
  tag: "manifest",
  changeId: `change-${version}`,
  ifVersion: version,
  by: "operator",
  doc: SimulatedMembership.snapshot(routes, version).manifest.doc,
});

async function changesOf(routes: number, seed: number): Promise<Record<string, number>> {
  const control = new SimulatedControlGroup(3, seed);
  await control.boot();
  const leader = control.leader()!;
  const before = control.members.map((voter) => voter.meter.copy());
  const processor = Processor.now();
  const from = control.world.now;
  const times: number[] = [];
  for (let version = 0; version < changes; version += 1)
    times.push(...(await control.propose([change(routes, version)], 5000)).tookMs);
  const spent = control.members.map((voter, at) => voter.meter.since(before[at]));
  const tookMs = control.world.now - from;
  const processorMs = Processor.since(processor) / changes / control.members.length;
  const sent = spent[control.members.indexOf(leader)];
  control.end();
  return {
    leadBytes: sent.bytes / changes,
    logBytes: Meter.sum(spent).writtenBytes / control.members.length / changes,
    processorMs,
    changeMs: times.length === changes ? tookMs / changes : NaN,
  };
}
async function idle(controls: number, seed: number): Promise<Record<string, number>> {
  const control = new SimulatedControlGroup(controls, seed);
  await control.boot();
  const before = control.members.map((voter) => voter.meter.copy());
  await control.world.run(10_000);
  const spent = control.members.map((voter, at) => voter.meter.since(before[at]));
  const sent = spent[control.members.indexOf(control.leader()!)];
  const all = Meter.sum(spent);
  control.end();
  return {
    leadBytes: sent.bytes / 10,
    leadFrames: sent.frames / 10,
    leadWakeUps: sent.wakeUps / 10,
    otherBytes: (all.bytes - sent.bytes) / 10 / Math.max(1, controls - 1),
  };
}

/**
 * The control log: changes against the bindings they carry, and an idle group against its machines.
 *
 * @example
 * const measured = await ControlScale.changes.measure(1000, 1);
 */
export const ControlGroupExperiments = {
  /** @example await ControlScale.changes.measure(1000, 1) */
  changes: {
    description: "Ten changes of the manifest one after the other at three voters, against its bindings, virtual time.",
    unit: "binding",
    sizes: [100, 1000, 3000, 6000],
    bound: {
      name: "bindings",
      min: 1,
      max: 60_000,
      reason: "an operator's manifest is refused past 8 MB, which is about as many",
    },
    metrics: {
      leadBytes: { description: "bytes put out by the lead a change", isDeterministic: true },
      logBytes: { description: "bytes written by a voter a change", isDeterministic: true },
      processorMs: { description: "ms of processor a voter a change", isDeterministic: false },
    },
    measure: changesOf,
  } as Experiment,
  /** @example await ControlScale.voters.measure(23, 1) */
  nodes: {
    description: "An idle control group, three voters and the rest standbys, against its machines, virtual time.",
    unit: "control machine",
    sizes: [3, 7, 13, 23],
    bound: { name: "control machines", min: 3, max: 60, reason: "more stand by than any plan here asks for" },
    metrics: {
      leadBytes: { description: "bytes put out by the lead a second", isDeterministic: true },
      leadFrames: { description: "frames put out by the lead a second", isDeterministic: true },
      leadWakeUps: { description: "timers that fire at the lead a second", isDeterministic: true },
      otherBytes: { description: "bytes put out by each of the others a second", isDeterministic: true },
    },
    measure: idle,
  } as Experiment,
  /** So many changes at once, each made against what the one before left. @example await ControlScale.burst(50, 1000, 1) */
  async burst(
    count: number,
    routes: number,
    seed: number,
  ): Promise<{ taken: number; lastMs: number; processorMs: number }> {
    const control = new SimulatedControlGroup(3, seed);
    await control.boot();
    const processor = Processor.now();
    const { acceptedCount: taken, tookMs } = await control.propose(
      Array.from({ length: count }, (_none, version) => change(routes, version)),
      10_000,
    );
    control.end();
    return { taken, lastMs: Math.max(0, ...tookMs), processorMs: Processor.since(processor) / count };
  },
};
