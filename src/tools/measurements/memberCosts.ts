// The command of scripts/scale.js: measures what membership, gossip and configuration changes cost by the number of members,
// in virtual time but with the real processor time of the whole fleet, as all nodes run in this one process.
import type { Node } from "../../node/node";
import { SimFleet } from "../../simulation/simFleet";
import { ascending, checkedDeployment, isInForce, killFleet, median, readDeployment, runUntil } from "./measuredFleet";

const DEFAULT_SIZES = [30, 60, 100];
const [MIN_MEMBERS, MAX_MEMBERS] = [12, 400];
const SEEDS = [1, 2, 3];
const EXIT_INVALID_ARGUMENTS = 2;
/** Identifies the log event of a member that becomes suspected. */
const MEMBER_SUSPECTED = " PB1102";
const BASELINE_SECONDS = 10;
const STEP_MS = 10;
const IN_FORCE_TIMEOUT_MS = 10_000;
const DETECTION_TIMEOUT_MS = 20_000;
const PAUSE_BETWEEN_CHANGES_MS = 500;

/** The changes in order. A change is large if it adds 3,000 routes or is made to a configuration that has them. */
const CHANGES = [
  { isLarge: false, routes: 1 },
  { isLarge: false, routes: 1 },
  { isLarge: true, routes: 3000 },
  { isLarge: true, routes: 1 },
];

/** Costs per node and second at low traffic without changes; suspicions are those of the whole fleet in the measured time. */
type BaselineCosts = { probes: number; calls: number; cpuMs: number; suspicions: number };
/** Milliseconds until each change is in force at every ingress, and the processor time per node until then. */
type ChangeCosts = { smallMs: number[]; largeMs: number[]; largeCpuMs: number[] };
type MemberCosts = BaselineCosts & ChangeCosts & { deadMs: number };

function lowTrafficDeployment(members: number): ReturnType<typeof readDeployment> {
  const base = readDeployment("sim");
  const mix = {
    ...base.mix,
    lookups: { ...base.mix.lookups, perSecond: 2 },
    streams: [{ ...base.mix.streams[0], perSecond: 0.5 }],
    singles: { ...base.mix.singles, perSecond: 0.5 },
    lots: { ...base.mix.lots, everyMs: 5000 },
  };
  return checkedDeployment({ ...base, ingresses: members - base.stores - base.controls, mix });
}

function nodesOf(fleet: SimFleet): Node[] {
  return (["agent", "store", "control"] as const)
    .flatMap((program) => fleet.names(program))
    .flatMap((name) => (fleet.daemons.get(name) as { node?: Node } | undefined)?.node ?? []);
}

function sum(nodes: Node[], value: (node: Node) => number): number {
  return nodes.reduce((total, node) => total + value(node), 0);
}

function userCpuMs(): number {
  return process.cpuUsage().user / 1000;
}

async function measureBaseline(fleet: SimFleet, suspicionsSoFar: () => number): Promise<BaselineCosts> {
  const countProbes = (): number => sum(nodesOf(fleet), (node) => node.membership.probeCount);
  const countCalls = (): number => sum(nodesOf(fleet), (node) => node.rpc.callCount);
  const before = { probes: countProbes(), calls: countCalls(), cpuMs: userCpuMs(), suspicions: suspicionsSoFar() };
  await fleet.run(BASELINE_SECONDS * 1000);
  const nodeSeconds = nodesOf(fleet).length * BASELINE_SECONDS;
  return {
    probes: (countProbes() - before.probes) / nodeSeconds,
    calls: (countCalls() - before.calls) / nodeSeconds,
    cpuMs: (userCpuMs() - before.cpuMs) / nodeSeconds,
    suspicions: suspicionsSoFar() - before.suspicions,
  };
}

async function measureChanges(fleet: SimFleet): Promise<ChangeCosts> {
  const costs: ChangeCosts = { smallMs: [], largeMs: [], largeCpuMs: [] };
  for (const { isLarge, routes } of CHANGES) {
    const cpuBefore = userCpuMs();
    const change = await fleet.changeConfiguration(routes);
    if (change.outcome !== "acknowledged") continue;
    const tookMs = await runUntil(fleet, IN_FORCE_TIMEOUT_MS, STEP_MS, () => isInForce(fleet, change.version));
    (isLarge ? costs.largeMs : costs.smallMs).push(tookMs);
    if (isLarge) costs.largeCpuMs.push((userCpuMs() - cpuBefore) / nodesOf(fleet).length);
    await fleet.run(PAUSE_BETWEEN_CHANGES_MS);
  }
  return costs;
}

/** Kills an agent; returns the milliseconds until every node considers it dead. */
async function measureFailureDetection(fleet: SimFleet): Promise<number> {
  const [killed] = fleet.names("agent");
  const { id } = (fleet.daemons.get(killed) as unknown as { node: Node }).node.self;
  fleet.kill(killed);
  return runUntil(fleet, DETECTION_TIMEOUT_MS, STEP_MS, () =>
    nodesOf(fleet).every((node) => node.membership.find(id)?.state === "dead"),
  );
}

async function measure(members: number, seed: number): Promise<MemberCosts> {
  let suspicions = 0;
  const fleet = new SimFleet(lowTrafficDeployment(members), seed, (line) => {
    if (line.includes(MEMBER_SUSPECTED)) suspicions += 1;
  });
  await fleet.boot();
  const baseline = await measureBaseline(fleet, () => suspicions);
  const changes = await measureChanges(fleet);
  const deadMs = await measureFailureDetection(fleet);
  killFleet(fleet);
  return { ...baseline, ...changes, deadMs };
}

function spread(values: number[]): string {
  if (values.length === 0) return "none";
  const sorted = ascending(values);
  return [sorted[0], median(sorted), sorted[sorted.length - 1]].map((value) => value.toFixed(0)).join(" / ");
}

function printCosts(members: number, all: MemberCosts[]): void {
  const mean = (value: (costs: MemberCosts) => number): string =>
    (all.reduce((total, costs) => total + value(costs), 0) / all.length).toFixed(1);
  const spreadOf = (values: (costs: MemberCosts) => number | number[]): string => spread(all.flatMap(values));
  console.log(
    `${members} members: per node and second ${mean((costs) => costs.probes)} probes, ` +
      `${mean((costs) => costs.calls)} calls, ${mean((costs) => costs.cpuMs)} ms processor time; ` +
      `false suspicions in 10 s ${mean((costs) => costs.suspicions)}`,
  );
  console.log(
    `    a dead member known to all after ${spreadOf((costs) => costs.deadMs)} ms; ` +
      `change in force after ${spreadOf((costs) => costs.smallMs)} ms, ` +
      `with 3,000 more routes ${spreadOf((costs) => costs.largeMs)} ms ` +
      `and ${spreadOf((costs) => costs.largeCpuMs)} ms processor time per node`,
  );
}

async function main(args: string[]): Promise<number> {
  const sizes = args.map(Number);
  if (sizes.some((size) => !(size >= MIN_MEMBERS && size <= MAX_MEMBERS))) {
    console.error(`the number of members must be from ${MIN_MEMBERS} to ${MAX_MEMBERS}`);
    return EXIT_INVALID_ARGUMENTS;
  }
  for (const members of sizes.length > 0 ? sizes : DEFAULT_SIZES) {
    const all: MemberCosts[] = [];
    for (const seed of SEEDS) all.push(await measure(members, seed));
    printCosts(members, all);
  }
  return 0;
}

void main(process.argv.slice(2)).then((exitCode) => process.exit(exitCode));
