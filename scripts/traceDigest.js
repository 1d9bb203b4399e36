#!/usr/bin/env node
/**
 * Digests of simulated runs, to show that a change of the code left its behaviour as it was: the same scenario and seed
 * must give the same digests before and after.
 *
 *   node scripts/traceDigest.js CHECKOUT [--scenario name,...|all] [--seed N] [--point N]
 *
 * CHECKOUT is a built checkout or its dist folder. One line a run: scenario, seed, fault point, then three digests
 * (SHA-256, 16 hex digits):
 *   - the trace: every envelope the codec encoded, in order, then the history that callers saw, then the virtual time;
 *   - the log: every line the simulated processes logged, in order;
 *   - the disks: name and content of every file that the simulated disks hold at the end.
 */
const crypto = require("crypto");
const fs = require("fs");
const path = require("path");

const DIGEST_HEX_DIGITS = 16;

/** Where each module is found, relative to dist/src: the newest layout first. */
const MODULE_PATHS = {
  codec: ["rpc/envelope.js", "rpc/envelopeCodec.js", "rpc/codec.js", "rpc/wire.js", "wire/wire.js"],
  campaign: ["simulation/campaign.js", "sim/campaign.js"],
  scenarios: ["simulation/scenarios/scenarios.js", "sim/scenarios/scenarios.js"],
  deployment: ["tools/deployment.js", "deployment/deployment.js", "simulation/deployment.js"],
};

function fail(message) {
  process.stderr.write(`${message}\n`);
  process.exit(2);
}

function parseArguments(args) {
  const [checkout, ...rest] = args;
  if (!checkout) fail("usage: traceDigest.js CHECKOUT [--scenario name,...|all] [--seed N] [--point N]");
  const options = { checkout: path.resolve(checkout), scenario: "all", seed: 1, point: undefined };
  for (let index = 0; index < rest.length; index += 2) {
    const value = rest[index + 1];
    if (value === undefined) fail(`${rest[index]} needs a value`);
    if (rest[index] === "--scenario") options.scenario = value;
    else if (rest[index] === "--seed") options.seed = Number(value);
    else if (rest[index] === "--point") options.point = Number(value);
    else fail(`unknown option ${rest[index]}`);
  }
  return options;
}

/** The checkout's root and its compiled sources, whichever of root and dist was named. */
function locate(checkout) {
  const root = fs.existsSync(path.join(checkout, "dist")) ? checkout : path.dirname(checkout);
  return { root, sources: path.join(root, "dist", "src") };
}

function load(sources, name) {
  const found = MODULE_PATHS[name].map((each) => path.join(sources, each)).find((each) => fs.existsSync(each));
  if (!found) fail(`no module ${name} under ${sources}; looked for ${MODULE_PATHS[name].join(", ")}`);
  return require(found);
}

/** The object that has all these functions: one of the module's exports, or the module itself. */
function exportWith(module, ...functions) {
  const owner = [...Object.values(module), module].find(
    (each) => each && functions.every((name) => typeof each[name] === "function"),
  );
  if (!owner) fail(`no export with ${functions.join(", ")} among ${Object.keys(module).join(", ")}`);
  return owner;
}

/** Calls `observe` with each encoded envelope; the codec itself works as before. */
function observeEncoding(codec, observe) {
  const encode = codec.encode;
  codec.encode = function observedEncode(...args) {
    const bytes = encode.apply(this, args);
    observe(bytes);
    return bytes;
  };
}

function select(catalog, wanted) {
  if (wanted === "all") return catalog.all;
  return wanted.split(",").map((name) => catalog.find(name) ?? fail(`no scenario ${name}`));
}

function pointsOf(scenario, wanted) {
  const points = scenario.points ?? [0];
  return wanted === undefined ? points : points.filter((point) => point === wanted);
}

/** Hashes the synced files of every process's disk. */
function hashDisks(disks) {
  const hash = crypto.createHash("sha256");
  for (const [process, disk] of disks) {
    const files = [...disk.under("")].sort(([left], [right]) => (left < right ? -1 : 1));
    for (const [file, content] of files) hash.update(`${process} ${file} ${content.length}\n`).update(content);
  }
  return hash;
}

/** What callers observed, in order; builds from before the type had its name call the list `seen`. */
const observationsOf = (history) => history.observations ?? history.seen;
const shortDigest = (hash) => hash.digest("hex").slice(0, DIGEST_HEX_DIGITS);

async function main() {
  const options = parseArguments(process.argv.slice(2));
  const { root, sources } = locate(options.checkout);
  const campaign = exportWith(load(sources, "campaign"), "run");
  const { Scenarios } = load(sources, "scenarios");
  const { Deployment } = load(sources, "deployment");
  const deployment = Deployment.check(JSON.parse(fs.readFileSync(path.join(root, "deploy", "sim.json"), "utf8")));
  if (!deployment.ok) fail(JSON.stringify(deployment));

  let trace;
  observeEncoding(exportWith(load(sources, "codec"), "encode", "decode"), (bytes) => trace.update(bytes));
  for (const scenario of select(Scenarios, options.scenario))
    for (const point of pointsOf(scenario, options.point)) {
      trace = crypto.createHash("sha256");
      const log = crypto.createHash("sha256");
      const logLine = (line) => log.update(`${line}\n`);
      const report = await campaign.run(deployment.value, scenario, options.seed, point, logLine);
      trace.update(JSON.stringify(observationsOf(report.fleet.history)));
      trace.update(String(report.virtualMs));
      const digests = [trace, log, hashDisks(report.fleet.disks)].map(shortDigest);
      console.log(`${scenario.name} ${options.seed} ${point} ${digests.join(" ")}`);
    }
  process.exit(0);
}

void main();
