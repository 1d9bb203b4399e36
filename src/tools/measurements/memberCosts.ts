// The command of scripts/scale.js: what membership, gossip and configuration cost by the number of members, in virtual time,
// with the real processor time of the whole fleet (all nodes run in this one process).
import type { Node } from "../../node/node";
import { SimFleet } from "../../simulation/simFleet";
import { ascending, checkedDeployment, isInForce, killFleet, median, readDeployment, runUntil } from "./measuredFleet";

const DEFAULT_SIZES = [30, 60, 100];
const [FEWEST_MEMBERS, MOST_MEMBERS] = [12, 400];
const SEEDS = [1, 2, 3];
const EXIT_BAD_INPUT = 2;
const MEMBER_SUSPECTED = " PB1102";
const QUIET_SECONDS = 10;
const STEP_MS = 10;
const IN_FORCE_WITHIN_MS = 10_000;
const DEAD_WITHIN_MS = 20_000;
const PAUSE_MS = 500;

/** The changes in order; the two last are made to a configuration that has 3,000 routes more. */
const CHANGES = [
  { isLarge: false, routes: 1 },
  { isLarge: false, routes: 1 },
  { isLarge: true, routes: 3000 },
  { isLarge: true, routes: 1 },
];

/** Costs of one node in one second while nothing happens; suspicions are those of the whole fleet. */
type QuietCosts = { probes: number; calls: number; cpuMs: number; suspicions: number };
/** Milliseconds until a change is in force everywhere, and processor time of one node meanwhile. */
type ChangeCosts = { smallMs: number[]; largeMs: number[]; largeCpuMs: number[] };
type MemberCosts = QuietCosts & ChangeCosts & { deadMs: number };

function quietDeployment(members: number): ReturnType<typeof readDeployment> {
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

async function measureQuiet(fleet: SimFleet, suspicionsSoFar: () => number): Promise<QuietCosts> {
  const countProbes = (): number => sum(nodesOf(fleet), (node) => node.membership.probeCount);
  const countCalls = (): number => sum(nodesOf(fleet), (node) => node.rpc.callCount);
  const before = { probes: countProbes(), calls: countCalls(), cpuMs: userCpuMs(), suspicions: suspicionsSoFar() };
  await fleet.run(QUIET_SECONDS * 1000);
  const perNodeSecond = nodesOf(fleet).length * QUIET_SECONDS;
  return {
    probes: (countProbes() - before.probes) / perNodeSecond,
    calls: (countCalls() - before.calls) / perNodeSecond,
    cpuMs: (userCpuMs() - before.cpuMs) / perNodeSecond,
    suspicions: suspicionsSoFar() - before.suspicions,
  };
}

async function measureChanges(fleet: SimFleet): Promise<ChangeCosts> {
  const costs: ChangeCosts = { smallMs: [], largeMs: [], largeCpuMs: [] };
  for (const { isLarge, routes } of CHANGES) {
    const cpuBefore = userCpuMs();
    const change = await fleet.changeConfiguration(routes);
    if (change.outcome !== "acknowledged") continue;
    const tookMs = await runUntil(fleet, IN_FORCE_WITHIN_MS, STEP_MS, () => isInForce(fleet, change.version));
    (isLarge ? costs.largeMs : costs.smallMs).push(tookMs);
    if (isLarge) costs.largeCpuMs.push((userCpuMs() - cpuBefore) / nodesOf(fleet).length);
    await fleet.run(PAUSE_MS);
  }
  return costs;
}

/** Kills an agent; the milliseconds until every node holds it for dead. */
async function measureDeath(fleet: SimFleet): Promise<number> {
  const [lost] = fleet.names("agent");
  const { id } = (fleet.daemons.get(lost) as unknown as { node: Node }).node.self;
  fleet.kill(lost);
  return runUntil(fleet, DEAD_WITHIN_MS, STEP_MS, () =>
    nodesOf(fleet).every((node) => node.membership.find(id)?.state === "dead"),
  );
}

async function measure(members: number, seed: number): Promise<MemberCosts> {
  let suspicions = 0;
  const fleet = new SimFleet(quietDeployment(members), seed, (line) => {
    if (line.includes(MEMBER_SUSPECTED)) suspicions += 1;
  });
  await fleet.boot();
  const quiet = await measureQuiet(fleet, () => suspicions);
  const changes = await measureChanges(fleet);
  const deadMs = await measureDeath(fleet);
  killFleet(fleet);
  return { ...quiet, ...changes, deadMs };
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
    `${members} members: a node a second ${mean((costs) => costs.probes)} probes, ` +
      `${mean((costs) => costs.calls)} asks, ${mean((costs) => costs.cpuMs)} ms processor; ` +
      `false suspicions in 10 s ${mean((costs) => costs.suspicions)}`,
  );
  console.log(
    `    a dead one known to all after ${spreadOf((costs) => costs.deadMs)} ms; ` +
      `in force after ${spreadOf((costs) => costs.smallMs)} ms, ` +
      `with 3,000 bindings more ${spreadOf((costs) => costs.largeMs)} ms ` +
      `and ${spreadOf((costs) => costs.largeCpuMs)} ms processor a node`,
  );
}

async function main(words: string[]): Promise<number> {
  const sizes = words.map(Number);
  if (sizes.some((size) => !(size >= FEWEST_MEMBERS && size <= MOST_MEMBERS))) {
    console.error(`members are whole numbers from ${FEWEST_MEMBERS} to ${MOST_MEMBERS}`);
    return EXIT_BAD_INPUT;
  }
  for (const members of sizes.length > 0 ? sizes : DEFAULT_SIZES) {
    const all: MemberCosts[] = [];
    for (const seed of SEEDS) all.push(await measure(members, seed));
    printCosts(members, all);
  }
  return 0;
}

void main(process.argv.slice(2)).then((exitCode) => process.exit(exitCode));
