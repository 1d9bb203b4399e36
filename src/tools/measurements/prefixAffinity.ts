// The command of scripts/affinity.js: compares prefix affinity with the choice between two random endpoints, in virtual time.
import { SimFleet } from "../../simulation/simFleet";
import { ascending, checkedDeployment, killFleet, median, readDeployment } from "./measuredFleet";

const DEFAULT_SEEDS = [1, 2, 3];
const PREFIX_COUNT = 40;
const RUN_MS = 20_000;

async function measure(hasAffinity: boolean, seed: number): Promise<string> {
  const deployment = readDeployment("kiln-commons");
  deployment.mix.streams[0].prefixes = PREFIX_COUNT;
  if (!hasAffinity)
    for (const route of Object.values(deployment.manifest.bindings)) if (route.kind === "stream") route.prefixBytes = 0;
  const fleet = new SimFleet(checkedDeployment(deployment), seed);
  await fleet.boot();
  await fleet.run(RUN_MS);
  const modelEndpoints = fleet.startedEndpoints.filter((endpoint) => endpoint.settings.pool === "model");
  const hits = modelEndpoints.reduce((sum, endpoint) => sum + endpoint.cacheHits, 0);
  const prompts = modelEndpoints.reduce((sum, endpoint) => sum + endpoint.cacheMisses, hits);
  const firstChunkMs = ascending(fleet.history.of("streamEnd").map((stream) => stream.firstMs));
  killFleet(fleet);
  const label = hasAffinity ? "affinity" : "random  ";
  const share = ((100 * hits) / prompts).toFixed(1);
  const p50 = median(firstChunkMs).toFixed(0);
  return `${label} seed ${seed}: ${share} % of ${prompts} prompts found their prefix in the cache; first chunk p50 ${p50} ms`;
}

async function main(args: string[]): Promise<void> {
  const seeds = args.map(Number);
  for (const seed of seeds.length > 0 ? seeds : DEFAULT_SEEDS)
    for (const hasAffinity of [true, false]) console.log(await measure(hasAffinity, seed));
}

void main(process.argv.slice(2)).then(() => process.exit(0));
