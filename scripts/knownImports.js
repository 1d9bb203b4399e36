#!/usr/bin/env node
// Rewrites the list of known violations of the import rules after some were repaired, or after files were renamed. Refused
// when a rule is broken more often than before.
//   node scripts/knownImports.js
const { spawnSync } = require("child_process");
const fs = require("fs");
const path = require("path");
const { ViolationsAddedError, listText, refuseAdded } = require("./lint/knownViolations");

const ROOT = path.join(__dirname, "..");
const KNOWN_FILE = path.join(ROOT, ".dependency-cruiser-known-violations.json");
const CRUISER = path.join(ROOT, "node_modules/.bin/depcruise");
const FOLDERS = ["src", "platform", "test"];

/** Every violation in the sources, known or not. */
function findViolations() {
  const ended = spawnSync(CRUISER, ["--output-type", "baseline", ...FOLDERS], { cwd: ROOT, encoding: "utf8" });
  if (ended.stdout === "") throw new Error(`dependency-cruiser failed: ${ended.stderr}`);
  return JSON.parse(ended.stdout);
}

function main() {
  const known = JSON.parse(fs.readFileSync(KNOWN_FILE, "utf8"));
  const found = findViolations();
  try {
    refuseAdded(known, found);
  } catch (error) {
    if (!(error instanceof ViolationsAddedError)) throw error;
    console.error(`known violations: ${error.message}`);
    return 1;
  }
  fs.writeFileSync(KNOWN_FILE, listText(found));
  console.log(`known violations: ${known.length} -> ${found.length}`);
  return 0;
}

process.exitCode = main();
