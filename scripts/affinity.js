#!/usr/bin/env node
// Prefix affinity against two random choices: how often a model's replica had the prompt's prefix, in virtual time.
//   node scripts/affinity.js [seed ...]
const fs = require("fs");
const path = require("path");
const { SimFleet } = require("../dist/src/simulation/simFleet.js");
const { Deployment } = require("../dist/src/tools/deployment.js");

const text = fs.readFileSync(path.join(__dirname, "../deploy/kiln-commons.json"), "utf8");
async function one(affinity, seed) {
  const doc = JSON.parse(text);
  doc.mix.streams[0].prefixes = 40;
  if (!affinity)
    for (const binding of Object.values(doc.manifest.bindings)) if (binding.kind === "stream") binding.prefixBytes = 0;
  const fleet = new SimFleet(Deployment.check(doc).value, seed);
  await fleet.boot();
  await fleet.run(20_000);
  const models = fleet.pastReplicas.filter((replica) => replica.settings.pool === "model");
  const hits = models.reduce((sum, replica) => sum + replica.cacheHits, 0);
  const misses = models.reduce((sum, replica) => sum + replica.cacheMisses, 0);
  const first = fleet.history
    .of("streamEnd")
    .map((seen) => seen.firstMs)
    .sort((left, right) => left - right);
  for (const name of [...fleet.world.processes.keys()]) fleet.world.kill(name);
  console.log(
    `${affinity ? "affinity" : "random  "} seed ${seed}: ${((100 * hits) / (hits + misses)).toFixed(1)} % of ${hits + misses} prompts found their prefix; first piece p50 ${first[first.length >> 1].toFixed(0)} ms`,
  );
}
(async () => {
  const seeds = process.argv.slice(2).map(Number);
  for (const seed of seeds.length > 0 ? seeds : [1, 2, 3])
    for (const affinity of [true, false]) await one(affinity, seed);
  process.exit(0);
})();
