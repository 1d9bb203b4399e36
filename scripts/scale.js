#!/usr/bin/env node
// What membership, news and configuration cost by the number of members, in virtual time, with the real processor time of
// the whole fleet (all nodes run in this one process).   node scripts/scale.js [members ...]
const fs = require("fs");
const path = require("path");
const { SimFleet } = require("../dist/src/simulation/simFleet.js");
const { Deployment } = require("../dist/src/tools/deployment.js");

const base = JSON.parse(fs.readFileSync(path.join(__dirname, "../deploy/sim.json"), "utf8"));
const sizes = process.argv.slice(2).map(Number);
if (sizes.some((size) => !(size >= 12 && size <= 400))) {
  console.error("members are whole numbers from 12 to 400");
  process.exit(2);
}
const spread = (times) => {
  const sorted = [...times].sort((left, right) => left - right);
  return sorted.length === 0
    ? "none"
    : `${sorted[0].toFixed(0)} / ${sorted[sorted.length >> 1].toFixed(0)} / ${sorted[sorted.length - 1].toFixed(0)}`;
};
async function until(fleet, withinMs, reached) {
  const from = fleet.world.now;
  while (!reached() && fleet.world.now - from < withinMs) await fleet.run(10);
  return fleet.world.now - from;
}
async function one(members, seed) {
  const ingresses = members - base.stores - base.controls;
  const quiet = {
    ...base.mix,
    lookups: { ...base.mix.lookups, perSecond: 2 },
    streams: [{ ...base.mix.streams[0], perSecond: 0.5 }],
    singles: { ...base.mix.singles, perSecond: 0.5 },
    lots: { ...base.mix.lots, everyMs: 5000 },
  };
  const checked = Deployment.check({ ...base, ingresses, mix: quiet });
  if (!checked.ok) throw new Error(JSON.stringify(checked.fault));
  let suspicions = 0;
  let calm = false;
  const fleet = new SimFleet(checked.value, seed, (line) => {
    if (calm && line.includes(" PB1102")) suspicions += 1;
  });
  await fleet.boot();
  const nodes = () =>
    ["agent", "store", "control"]
      .flatMap((program) => fleet.names(program))
      .flatMap((name) => fleet.running.get(name)?.node ?? []);
  const sum = (pick) => nodes().reduce((total, node) => total + pick(node), 0);
  const before = {
    probes: sum((node) => node.membership.probeCount),
    asks: sum((node) => node.rpc.callCount),
    cpu: process.cpuUsage().user,
  };
  calm = true;
  await fleet.run(10_000);
  calm = false;
  const found = {
    probes: (sum((node) => node.membership.probeCount) - before.probes) / nodes().length / 10,
    asks: (sum((node) => node.rpc.callCount) - before.asks) / nodes().length / 10,
    cpu: (process.cpuUsage().user - before.cpu) / 1000 / nodes().length / 10,
    suspicions,
    small: [],
    large: [],
    largeCpu: [],
  };
  const inForce = (version) =>
    fleet
      .names("ingress")
      .every((name) => (fleet.running.get(name).snapshot().control?.manifest.version ?? 0) >= version);
  for (const [kind, bindings] of [
    ["small", 1],
    ["small", 1],
    ["large", 3000],
    ["large", 1],
  ]) {
    const cpu = process.cpuUsage().user;
    const changed = await fleet.change(bindings);
    if (changed.outcome !== "acknowledged") continue;
    found[kind].push(await until(fleet, 10_000, () => inForce(changed.version)));
    if (kind === "large") found.largeCpu.push((process.cpuUsage().user - cpu) / 1000 / nodes().length);
    await fleet.run(500);
  }
  const lost = fleet.names("agent")[0];
  const id = fleet.running.get(lost).node.self.id;
  fleet.kill(lost);
  found.dead = await until(fleet, 20_000, () => nodes().every((node) => node.membership.find(id)?.state === "dead"));
  for (const name of [...fleet.world.processes.keys()]) fleet.world.kill(name);
  return found;
}
(async () => {
  for (const members of sizes.length > 0 ? sizes : [30, 60, 100]) {
    const all = [];
    for (let seed = 1; seed <= 3; seed += 1) all.push(await one(members, seed));
    const of = (pick) => all.flatMap(pick);
    const mean = (pick) => (all.reduce((total, each) => total + pick(each), 0) / all.length).toFixed(1);
    console.log(
      `${members} members: a node a second ${mean((each) => each.probes)} probes, ${mean((each) => each.asks)} asks, ${mean((each) => each.cpu)} ms processor; false suspicions in 10 s ${mean((each) => each.suspicions)}`,
    );
    console.log(
      `    a dead one known to all after ${spread(of((each) => each.dead))} ms; in force after ${spread(of((each) => each.small))} ms, with 3,000 bindings more ${spread(of((each) => each.large))} ms and ${spread(of((each) => each.largeCpu))} ms processor a node`,
    );
  }
  process.exit(0);
})();
