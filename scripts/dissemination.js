#!/usr/bin/env node
// How long after its acknowledgement a manifest is in force at every ingress, in virtual time, by fleet size and by
// manifest size.   node scripts/dissemination.js
const fs = require("fs");
const path = require("path");
const { SimFleet } = require("../dist/src/simulation/simFleet.js");
const { Deployment } = require("../dist/src/tools/deployment.js");

const base = JSON.parse(fs.readFileSync(path.join(__dirname, "../deploy/sim.json"), "utf8"));
async function one(ingresses, bindings, seed) {
  const checked = Deployment.check({
    ...base,
    ingresses,
    mix: {
      ...base.mix,
      lookups: { ...base.mix.lookups, perSecond: 2 },
      streams: [{ ...base.mix.streams[0], perSecond: 0.5 }],
    },
  });
  const fleet = new SimFleet(checked.value, seed);
  await fleet.boot();
  const times = [];
  for (let round = 0; round < 4; round += 1) {
    const changed = await fleet.change(bindings);
    if (changed.outcome !== "acknowledged") continue;
    const from = fleet.world.now;
    const seen = () =>
      fleet
        .names("ingress")
        .every((name) => (fleet.running.get(name).snapshot().control?.manifest.version ?? 0) >= changed.version);
    while (!seen() && fleet.world.now - from < 5000) await fleet.run(5);
    times.push(fleet.world.now - from);
    await fleet.run(800);
  }
  for (const name of [...fleet.world.processes.keys()]) fleet.world.kill(name);
  return times;
}
(async () => {
  for (const [ingresses, bindings] of [
    [3, 1],
    [8, 1],
    [16, 1],
    [32, 1],
    [3, 500],
    [3, 1000],
    [3, 2000],
  ]) {
    const times = [];
    for (let seed = 1; seed <= 3; seed += 1) times.push(...(await one(ingresses, bindings, seed)));
    times.sort((left, right) => left - right);
    console.log(
      `${ingresses} ingresses, ${bindings} binding(s) more a change: min ${times[0].toFixed(0)} median ${times[times.length >> 1].toFixed(0)} max ${times[times.length - 1].toFixed(0)} ms (${times.length} changes)`,
    );
  }
  process.exit(0);
})();
