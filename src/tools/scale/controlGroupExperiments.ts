import { Command } from "../../controlState/command";
import { Experiment, CpuTime } from "./experiment";
import { SimulatedControlGroup } from "./simulatedControlGroup";
import { SimulatedMembership } from "./simulatedMembership";
import { Meter } from "./meter";

const CHANGE_COUNT = 10;
/** Returns a command that replaces the whole configuration if its version is still the given one. */
const configurationChange = (routes: number, version: number): Command => ({
  tag: "manifest",
  changeId: `change-${version}`,
  ifVersion: version,
  by: "operator",
  doc: SimulatedMembership.snapshot(routes, version).manifest.doc,
});

async function measureChanges(routes: number, seed: number): Promise<Record<string, number>> {
  const group = new SimulatedControlGroup(3, seed);
  await group.boot();
  const leader = group.leader()!;
  const before = group.members.map((member) => member.meter.copy());
  const cpuBefore = CpuTime.now();
  const startedAt = group.world.now;
  const latenciesMs: number[] = [];
  for (let version = 0; version < CHANGE_COUNT; version += 1)
    latenciesMs.push(...(await group.propose([configurationChange(routes, version)], 5000)).latenciesMs);
  const counts = group.members.map((member, index) => member.meter.since(before[index]));
  const tookMs = group.world.now - startedAt;
  const processorMs = CpuTime.msSince(cpuBefore) / CHANGE_COUNT / group.members.length;
  const leaderCounts = counts[group.members.indexOf(leader)];
  group.end();
  return {
    leadBytes: leaderCounts.bytes / CHANGE_COUNT,
    logBytes: Meter.sum(counts).writtenBytes / group.members.length / CHANGE_COUNT,
    processorMs,
    changeMs: latenciesMs.length === CHANGE_COUNT ? tookMs / CHANGE_COUNT : NaN,
  };
}
async function measureIdle(nodeCount: number, seed: number): Promise<Record<string, number>> {
  const group = new SimulatedControlGroup(nodeCount, seed);
  await group.boot();
  const before = group.members.map((member) => member.meter.copy());
  await group.world.run(10_000);
  const counts = group.members.map((member, index) => member.meter.since(before[index]));
  const leaderCounts = counts[group.members.indexOf(group.leader()!)];
  const all = Meter.sum(counts);
  group.end();
  return {
    leadBytes: leaderCounts.bytes / 10,
    leadFrames: leaderCounts.frames / 10,
    leadWakeUps: leaderCounts.wakeUps / 10,
    otherBytes: (all.bytes - leaderCounts.bytes) / 10 / Math.max(1, nodeCount - 1),
  };
}

/** Measures what configuration changes cost by the number of their routes, and what an idle control group costs by its size. */
export const ControlGroupExperiments = {
  changes: {
    description:
      "Ten changes of the configuration one after another in a control group of three voters, by the number of routes: virtual time.",
    unit: "route",
    sizes: [100, 1000, 3000, 6000],
    bound: {
      name: "bindings",
      min: 1,
      max: 60_000,
      reason: "a configuration of more than 8 MB, which is about as many routes, is rejected",
    },
    metrics: {
      leadBytes: { description: "bytes sent by the leader per change", isDeterministic: true },
      logBytes: { description: "bytes written by a voter per change", isDeterministic: true },
      processorMs: { description: "ms of processor time of a voter per change", isDeterministic: false },
    },
    measure: measureChanges,
  } as Experiment,
  nodes: {
    description:
      "An idle control group of three voters, the other nodes standbys, by the number of nodes: virtual time.",
    unit: "control node",
    sizes: [3, 7, 13, 23],
    bound: { name: "control nodes", min: 3, max: 60, reason: "no deployment plan has more standbys" },
    metrics: {
      leadBytes: { description: "bytes sent by the leader per second", isDeterministic: true },
      leadFrames: { description: "frames sent by the leader per second", isDeterministic: true },
      leadWakeUps: { description: "timers that fire at the leader per second", isDeterministic: true },
      otherBytes: { description: "bytes sent by each of the other nodes per second", isDeterministic: true },
    },
    measure: measureIdle,
  } as Experiment,
};
