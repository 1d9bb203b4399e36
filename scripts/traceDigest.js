#!/usr/bin/env node
/**
 * Prints digests of simulated runs. They show whether a change of the code preserves its behaviour: the same scenario and
 * seed must give the same digests before and after the change.
 *
 *   node scripts/traceDigest.js CHECKOUT [--scenario name,...|all] [--seed N] [--point N]
 *
 * CHECKOUT is a built checkout or its dist folder. Each run prints one line: scenario, seed, fault point, then three digests
 * (the first 16 hex digits of SHA-256):
 *   - the trace: every envelope that the codec encoded, in order, then the history that callers observed, then the
 *     virtual time;
 *   - the log: every line that the simulated processes logged, in order;
 *   - the disks: name and content of every file on the simulated disks at the end.
 */
const crypto = require("crypto");
const fs = require("fs");
const path = require("path");

const DIGEST_HEX_DIGITS = 16;

/** Paths of each module relative to dist/src, newest source layout first. Older paths allow comparison with older builds. */
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

/** Returns the root of the checkout and its compiled sources; `checkout` is either the root or its dist folder. */
function locate(checkout) {
  const root = fs.existsSync(path.join(checkout, "dist")) ? checkout : path.dirname(checkout);
  return { root, sources: path.join(root, "dist", "src") };
}

function load(sources, name) {
  const file = MODULE_PATHS[name].map((candidate) => path.join(sources, candidate)).find((each) => fs.existsSync(each));
  if (!file) fail(`no module ${name} under ${sources}; looked for ${MODULE_PATHS[name].join(", ")}`);
  return require(file);
}

/** Finds the object that has all these functions: one of the module's exports, or the module itself. */
function exportWith(module, ...functions) {
  const owner = [...Object.values(module), module].find(
    (each) => each && functions.every((name) => typeof each[name] === "function"),
  );
  if (!owner) fail(`no export with ${functions.join(", ")} among ${Object.keys(module).join(", ")}`);
  return owner;
}

/** Wraps the codec's `encode` so that `observe` is called with each encoded envelope. */
function observeEncoding(codec, observe) {
  const encode = codec.encode;
  codec.encode = function observedEncode(...args) {
    const bytes = encode.apply(this, args);
    observe(bytes);
    return bytes;
  };
}

function selectScenarios(catalog, names) {
  if (names === "all") return catalog.all;
  return names.split(",").map((name) => catalog.find(name) ?? fail(`no scenario ${name}`));
}

function faultPointsOf(scenario, selected) {
  const points = scenario.points ?? [0];
  return selected === undefined ? points : points.filter((point) => point === selected);
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

/** Returns what callers observed, in order. Older builds name the list `seen`. */
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
  for (const scenario of selectScenarios(Scenarios, options.scenario))
    for (const point of faultPointsOf(scenario, options.point)) {
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
