#!/usr/bin/env node
// How long a shard has no lead that serves after a store is lost, in virtual time, split by whether the store led the
// shard or only held a copy; ten seeds for each kind of loss.   node scripts/takeover.js [seeds]
const fs = require("fs");
const path = require("path");
const { SimFleet } = require("../dist/src/simulation/simFleet.js");
const { Deployment } = require("../dist/src/tools/deployment.js");

const seeds = Number(process.argv[2] ?? 10);
const deployment = Deployment.check(
  JSON.parse(fs.readFileSync(path.join(__dirname, "../deploy/sim.json"), "utf8")),
).value;
const losses = {
  kill: (fleet, name) => fleet.kill(name),
  freeze: (fleet, name) => fleet.freeze(name),
  "cut off": (fleet, name) => fleet.cutOff([name]),
  "disk fails": (fleet, name) => (fleet.disks.get(name).failing = true),
};
const spread = (times) => {
  const sorted = [...times].sort((left, right) => left - right);
  return sorted.length === 0
    ? "none"
    : `min ${sorted[0].toFixed(0)} median ${sorted[sorted.length >> 1].toFixed(0)} max ${sorted[sorted.length - 1].toFixed(0)} (${sorted.length})`;
};
async function one(seed, lose) {
  const began = new Map(); // shard → when its new lead began
  let at = Infinity;
  const stages = {};
  const fleet = new SimFleet(deployment, seed, (line) => {
    const [time, , event, ...rest] = line.split(" ");
    if (+time < at) return;
    const fields = rest.join(" ") ? JSON.parse(rest.join(" ")) : {};
    if (event === "PB1411" && !began.has(fields.shard)) began.set(fields.shard, +time - at);
    if (event === "PB1415") for (const [stage, ms] of Object.entries(fields.stages)) (stages[stage] ??= []).push(ms);
  });
  await fleet.boot();
  await fleet.run(3000);
  const name = fleet.busiestStore();
  const id = [...fleet.storeOf].find(([, store]) => store === name)[0];
  const views = Object.values(fleet.views());
  at = fleet.world.now;
  lose(fleet, name);
  await fleet.run(9000);
  for (const process of [...fleet.world.processes.keys()]) fleet.world.kill(process);
  const times = (which) => views.filter(which).map((view) => began.get(view.shard) ?? Infinity);
  return {
    led: times((view) => view.lead === id),
    held: times((view) => view.lead !== id && view.members.includes(id)),
    stages,
  };
}
(async () => {
  for (const [kind, lose] of Object.entries(losses)) {
    const all = { led: [], held: [] };
    const stages = {};
    for (let seed = 1; seed <= seeds; seed += 1) {
      const found = await one(seed, lose);
      all.led.push(...found.led);
      all.held.push(...found.held);
      for (const [stage, times] of Object.entries(found.stages)) (stages[stage] ??= []).push(...times);
    }
    console.log(`${kind}: shards it led ${spread(all.led)} ms; shards it held ${spread(all.held)} ms`);
    for (const [stage, times] of Object.entries(stages)) console.log(`    ${stage}: ${spread(times)} ms`);
  }
  process.exit(0);
})();
