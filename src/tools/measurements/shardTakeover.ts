// The command of scripts/takeover.js: measures for how long a shard has no leader after the loss of a storage node, in virtual
// time.
import { SimFleet } from "../../simulation/simFleet";
import { ascending, killFleet, median, readDeployment } from "./measuredFleet";

const DEFAULT_SEED_COUNT = 10;
const SETTLE_MS = 3000;
const RUN_MS = 9000;
const LEADER_STARTED = "PB1411";
const VIEW_CHANGED = "PB1415";

type TimesByStage = Record<string, number[]>;
/** Times until a new leader starts, of shards that the lost node led and of shards of which it only held a replica. */
type Takeover = { led: number[]; replicated: number[]; stages: TimesByStage };
/** The fields that are read from log events: `shard` of LEADER_STARTED, `stages` of VIEW_CHANGED. */
type LoggedFields = { shard: number; stages: Record<string, number> };

const LOSSES: Record<string, (fleet: SimFleet, name: string) => void> = {
  kill: (fleet, name) => fleet.kill(name),
  freeze: (fleet, name) => fleet.freeze(name),
  "network partition": (fleet, name) => fleet.partition([name]),
  "disk fails": (fleet, name) => {
    fleet.disks.get(name)!.failing = true;
  },
};

function addStages(to: TimesByStage, stage: string, times: number[]): void {
  to[stage] = [...(to[stage] ?? []), ...times];
}

async function measure(deployment: ReturnType<typeof readDeployment>, seed: number, loss: string): Promise<Takeover> {
  const leaderStartedAfter = new Map<number, number>();
  const stages: TimesByStage = {};
  let lostAt = Infinity;
  const fleet = new SimFleet(deployment, seed, (line) => {
    const [time, , event, ...rest] = line.split(" ");
    if (Number(time) < lostAt) return;
    const fields = JSON.parse(rest.join(" ") || "{}") as LoggedFields;
    if (event === LEADER_STARTED && !leaderStartedAfter.has(fields.shard))
      leaderStartedAfter.set(fields.shard, Number(time) - lostAt);
    if (event === VIEW_CHANGED) for (const [stage, ms] of Object.entries(fields.stages)) addStages(stages, stage, [ms]);
  });
  await fleet.boot();
  await fleet.run(SETTLE_MS);
  const name = fleet.busiestStore();
  const [id] = [...fleet.storeNameById].find(([, store]) => store === name)!;
  const views = Object.values(fleet.views());
  lostAt = fleet.world.now;
  LOSSES[loss](fleet, name);
  await fleet.run(RUN_MS);
  killFleet(fleet);
  const timesOf = (shards: typeof views): number[] =>
    shards.map((view) => leaderStartedAfter.get(view.shard) ?? Infinity);
  return {
    led: timesOf(views.filter((view) => view.lead === id)),
    replicated: timesOf(views.filter((view) => view.lead !== id && view.members.includes(id))),
    stages,
  };
}

function spread(times: number[]): string {
  if (times.length === 0) return "none";
  const sorted = ascending(times);
  const [min, middle, max] = [sorted[0], median(sorted), sorted[sorted.length - 1]].map((ms) => ms.toFixed(0));
  return `min ${min} median ${middle} max ${max} (${times.length})`;
}

async function main(args: string[]): Promise<void> {
  const seedCount = Number(args[0] ?? DEFAULT_SEED_COUNT);
  const deployment = readDeployment("sim");
  for (const loss of Object.keys(LOSSES)) {
    const all: Takeover = { led: [], replicated: [], stages: {} };
    for (let seed = 1; seed <= seedCount; seed += 1) {
      const takeover = await measure(deployment, seed, loss);
      all.led.push(...takeover.led);
      all.replicated.push(...takeover.replicated);
      for (const [stage, times] of Object.entries(takeover.stages)) addStages(all.stages, stage, times);
    }
    console.log(`${loss}: shards it led ${spread(all.led)} ms; shards it only replicated ${spread(all.replicated)} ms`);
    for (const [stage, times] of Object.entries(all.stages)) console.log(`    ${stage}: ${spread(times)} ms`);
  }
}

void main(process.argv.slice(2)).then(() => process.exit(0));
