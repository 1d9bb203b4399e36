#!/usr/bin/env node
// Rewrites the list of known violations of the import rules after violations were fixed or files were renamed. Fails if any
// rule has more violations than before.
//   node scripts/knownImports.js
const { spawnSync } = require("child_process");
const fs = require("fs");
const path = require("path");
const { ViolationsAddedError, listText, checkNoneAdded } = require("./lint/knownViolations");

const ROOT = path.join(__dirname, "..");
const KNOWN_FILE = path.join(ROOT, ".dependency-cruiser-known-violations.json");
const DEPCRUISE_COMMAND = path.join(ROOT, "node_modules/.bin/depcruise");
const FOLDERS = ["src", "platform", "test"];

/** Returns all violations in the sources, known or not. */
function findViolations() {
  const child = spawnSync(DEPCRUISE_COMMAND, ["--output-type", "baseline", ...FOLDERS], {
    cwd: ROOT,
    encoding: "utf8",
  });
  if (child.stdout === "") throw new Error(`dependency-cruiser failed: ${child.stderr}`);
  return JSON.parse(child.stdout);
}

function main() {
  const known = JSON.parse(fs.readFileSync(KNOWN_FILE, "utf8"));
  const found = findViolations();
  try {
    checkNoneAdded(known, found);
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
