#!/usr/bin/env node
// Mutation testing of guards, the checks in the code that protect an invariant. Removes one guard from a copy of the built
// code, runs the scenario chosen for it with several seeds and expects a violation of one of the named invariants. A mutation
// without such a violation survives: the scenario doesn't prove that the guard is needed.
//   node scripts/guardMutations.js [name ...]
const { spawnSync } = require("child_process");
const path = require("path");
const { BuiltCopy, ROOT } = require("./guardMutations/builtCopy");
const { MUTATIONS } = require("./guardMutations/mutations");

const MAX_SEEDS = 4;
const RUN_TIMEOUT_MS = 200_000;
const DEPLOYMENT = path.join(ROOT, "deploy/sim.json");
const LONGEST_OUTCOME = "unfinished";
const EXIT_NOT_KILLED = 1;
const EXIT_BAD_INPUT = 2;
const VIOLATION_LINE = /^ {4}([a-z-]+): (.*)/;

/** Label of the report line with the command that repeats the run; the line has the same format as a violation. */
const REPLAY_LABEL = "replay";

/** Exit codes of completed simulations. Any other exit code, or a time-out, proves nothing about the guard. */
const FINISHED_STATUSES = [0, 1];

/** A run was terminated early by its time-out, a signal or an error of the simulator itself. */
class UnfinishedRunError extends Error {}

/** Runs a scenario with the mutated code and returns the names of the invariants whose violations it printed. */
function brokenInvariants(copy, scenario, seed) {
  const command = ["dist/src/main.js", "sim", DEPLOYMENT, "--scenario", scenario, "--seed", String(seed)];
  const child = spawnSync(process.execPath, command, { cwd: copy.folder, encoding: "utf8", timeout: RUN_TIMEOUT_MS });
  if (!FINISHED_STATUSES.includes(child.status)) throw new UnfinishedRunError(child.error?.message ?? child.stderr);
  return child.stdout
    .split("\n")
    .map((line) => VIOLATION_LINE.exec(line)?.[1])
    .filter((label) => label !== undefined && label !== REPLAY_LABEL);
}

/**
 * Runs one mutation with increasing seeds until it is killed or MAX_SEEDS is reached.
 * @param {import("./guardMutations/mutations").Mutation} mutation
 */
function testMutation(mutation) {
  const result = { outcome: "not found", seeds: 0, violations: new Map() };
  const copy = new BuiltCopy();
  try {
    if (!copy.apply(mutation.edits)) return result;
    result.outcome = "survived";
    while (result.outcome === "survived" && result.seeds < MAX_SEEDS) {
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
  console.log(`${label} ${mutation.name}: ${mutation.scenario}, ${seeds} seed(s): ${counts || "no violation"}`);
}

function main(names) {
  const knownNames = MUTATIONS.map((mutation) => mutation.name);
  const unknown = names.filter((name) => !knownNames.includes(name));
  if (unknown.length > 0) {
    console.error(`unknown mutation ${unknown.join(", ")}; known: ${knownNames.join(" ")}`);
    return EXIT_BAD_INPUT;
  }
  const chosen = MUTATIONS.filter((mutation) => names.length === 0 || names.includes(mutation.name));
  let notKilled = 0;
  for (const mutation of chosen) {
    const result = testMutation(mutation);
    if (result.outcome !== "killed") notKilled += 1;
    printResult(mutation, result);
  }
  return notKilled > 0 ? EXIT_NOT_KILLED : 0;
}

process.exitCode = main(process.argv.slice(2));
