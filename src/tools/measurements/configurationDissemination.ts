// The command of scripts/dissemination.js: measures how long after its acknowledgement a configuration is in force at every
// ingress.
import { SimFleet } from "../../simulation/simFleet";
import { ascending, checkedDeployment, isInForce, killFleet, median, readDeployment, runUntil } from "./measuredFleet";

const SEEDS = [1, 2, 3];
const ROUNDS = 4;
const TIMEOUT_MS = 5000;
const STEP_MS = 5;
const PAUSE_BETWEEN_CHANGES_MS = 800;

/** The measured sizes: the number of ingresses, and of routes that each change adds. */
const SIZES = [
  { ingresses: 3, routes: 1 },
  { ingresses: 8, routes: 1 },
  { ingresses: 16, routes: 1 },
  { ingresses: 32, routes: 1 },
  { ingresses: 3, routes: 500 },
  { ingresses: 3, routes: 1000 },
  { ingresses: 3, routes: 2000 },
];

async function measure(ingresses: number, routes: number, seed: number): Promise<number[]> {
  const base = readDeployment("sim");
  const lowTrafficMix = {
    ...base.mix,
    lookups: { ...base.mix.lookups, perSecond: 2 },
    streams: [{ ...base.mix.streams[0], perSecond: 0.5 }],
  };
  const fleet = new SimFleet(checkedDeployment({ ...base, ingresses, mix: lowTrafficMix }), seed);
  await fleet.boot();
  const timesMs: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const change = await fleet.changeConfiguration(routes);
    if (change.outcome !== "acknowledged") continue;
    timesMs.push(await runUntil(fleet, TIMEOUT_MS, STEP_MS, () => isInForce(fleet, change.version)));
    await fleet.run(PAUSE_BETWEEN_CHANGES_MS);
  }
  killFleet(fleet);
  return timesMs;
}

async function main(): Promise<void> {
  for (const { ingresses, routes } of SIZES) {
    const all: number[] = [];
    for (const seed of SEEDS) all.push(...(await measure(ingresses, routes, seed)));
    const times = ascending(all);
    const [min, middle, max] = [times[0], median(times), times[times.length - 1]].map((ms) => ms.toFixed(0));
    console.log(
      `${ingresses} ingresses, ${routes} route(s) added per change: min ${min} median ${middle} max ${max} ms (${times.length} changes)`,
    );
  }
}

void main().then(() => process.exit(0));
