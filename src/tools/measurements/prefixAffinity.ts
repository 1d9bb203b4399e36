// The command of scripts/affinity.js: prefix affinity against two random choices, in virtual time.
import { SimFleet } from "../../simulation/simFleet";
import { ascending, checkedDeployment, killFleet, median, readDeployment } from "./measuredFleet";

const DEFAULT_SEEDS = [1, 2, 3];
const PREFIXES = 40;
const RUN_MS = 20_000;

async function measure(hasAffinity: boolean, seed: number): Promise<string> {
  const deployment = readDeployment("kiln-commons");
  deployment.mix.streams[0].prefixes = PREFIXES;
  if (!hasAffinity)
    for (const route of Object.values(deployment.manifest.bindings)) if (route.kind === "stream") route.prefixBytes = 0;
  const fleet = new SimFleet(checkedDeployment(deployment), seed);
  await fleet.boot();
  await fleet.run(RUN_MS);
  const models = fleet.startedEndpoints.filter((endpoint) => endpoint.settings.pool === "model");
  const hits = models.reduce((sum, endpoint) => sum + endpoint.cacheHits, 0);
  const prompts = models.reduce((sum, endpoint) => sum + endpoint.cacheMisses, hits);
  const firstChunkMs = ascending(fleet.history.of("streamEnd").map((seen) => seen.firstMs));
  killFleet(fleet);
  const label = hasAffinity ? "affinity" : "random  ";
  const share = ((100 * hits) / prompts).toFixed(1);
  const p50 = median(firstChunkMs).toFixed(0);
  return `${label} seed ${seed}: ${share} % of ${prompts} prompts found their prefix; first piece p50 ${p50} ms`;
}

async function main(words: string[]): Promise<void> {
  const seeds = words.map(Number);
  for (const seed of seeds.length > 0 ? seeds : DEFAULT_SEEDS)
    for (const hasAffinity of [true, false]) console.log(await measure(hasAffinity, seed));
}

void main(process.argv.slice(2)).then(() => process.exit(0));
