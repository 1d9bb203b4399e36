#!/usr/bin/env node
// Mutation testing of the guards: takes one guard out of a copy of the built code, runs the scenario meant for it over a few
// seeds and expects one of the named invariants to be broken. A mutation that breaks none has survived: the scenario doesn't
// show that the guard is needed.
//   node scripts/guardMutations.js [name ...]
const { spawnSync } = require("child_process");
const path = require("path");
const { BuiltCopy, ROOT } = require("./guardMutations/builtCopy");
const { MUTATIONS } = require("./guardMutations/mutations");

const MOST_SEEDS = 4;
const RUN_TIMEOUT_MS = 200_000;
const DEPLOYMENT = path.join(ROOT, "deploy/sim.json");
const LONGEST_OUTCOME = "unfinished";
const EXIT_SURVIVED = 1;
const EXIT_BAD_INPUT = 2;
const VIOLATION_LINE = /^ {4}([a-z-]+): (.*)/;

/** A line of the simulator's report that looks like a violation and is none: how to run it again. */
const REPLAY_LABEL = "replay";

/** The simulator ends with one of these when it ran to its end; anything else, or a timeout, says nothing of the guard. */
const FINISHED_STATUSES = [0, 1];

/** A run was broken off: by its timeout, a signal or an error of the simulator itself. */
class UnfinishedRunError extends Error {}

/** Runs a scenario of the mutated code; the invariants of the violations that it printed. */
function brokenInvariants(copy, scenario, seed) {
  const command = ["dist/src/main.js", "sim", DEPLOYMENT, "--scenario", scenario, "--seed", String(seed)];
  const ended = spawnSync(process.execPath, command, { cwd: copy.folder, encoding: "utf8", timeout: RUN_TIMEOUT_MS });
  if (!FINISHED_STATUSES.includes(ended.status)) throw new UnfinishedRunError(ended.error?.message ?? ended.stderr);
  return ended.stdout
    .split("\n")
    .map((line) => VIOLATION_LINE.exec(line)?.[1])
    .filter((label) => label !== undefined && label !== REPLAY_LABEL);
}

/**
 * Runs one mutation until it is killed, or over all seeds.
 * @param {import("./guardMutations/mutations").Mutation} mutation
 */
function testMutation(mutation) {
  const result = { outcome: "not found", seeds: 0, violations: new Map() };
  const copy = new BuiltCopy();
  try {
    if (!copy.apply(mutation.edits)) return result;
    result.outcome = "survived";
    while (result.outcome === "survived" && result.seeds < MOST_SEEDS) {
      result.seeds += 1;
      for (const invariant of brokenInvariants(copy, mutation.scenario, result.seeds)) {
        result.violations.set(invariant, (result.violations.get(invariant) ?? 0) + 1);
      }
      if (mutation.expectedInvariants.some((invariant) => result.violations.has(invariant))) result.outcome = "killed";
    }
    return result;
  } catch (error) {
    if (!(error instanceof UnfinishedRunError)) throw error;
    console.error(error.message);
    result.outcome = "unfinished";
    return result;
  } finally {
    copy.remove();
  }
}

function printResult(mutation, { outcome, seeds, violations }) {
  const counts = [...violations].map(([invariant, count]) => `${invariant} ${count}`).join(", ");
  const label = outcome.padEnd(LONGEST_OUTCOME.length);
  console.log(`${label} ${mutation.name}: ${mutation.scenario}, ${seeds} seed(s): ${counts || "nothing broken"}`);
}

function main(names) {
  const known = MUTATIONS.map((mutation) => mutation.name);
  const unknown = names.filter((name) => !known.includes(name));
  if (unknown.length > 0) {
    console.error(`no guard ${unknown.join(", ")}; known: ${known.join(" ")}`);
    return EXIT_BAD_INPUT;
  }
  const chosen = MUTATIONS.filter((mutation) => names.length === 0 || names.includes(mutation.name));
  let survivors = 0;
  for (const mutation of chosen) {
    const result = testMutation(mutation);
    if (result.outcome !== "killed") survivors += 1;
    printResult(mutation, result);
  }
  return survivors > 0 ? EXIT_SURVIVED : 0;
}

process.exitCode = main(process.argv.slice(2));
