#!/usr/bin/env node
// Prints a jest test name pattern that matches every test except the known failures listed in KNOWN-RED.txt, or nothing if
// the list is empty. In each line of the file, the text before the first semicolon is the test name and the rest explains it.
//   node scripts/knownRedPattern.js
const fs = require("fs");
const path = require("path");

const KNOWN_RED_FILE = path.join(__dirname, "../KNOWN-RED.txt");

/** Escapes the text for use as a literal in a regular expression. */
function escapeForPattern(text) {
  return text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
}

/** Extracts the test names from the text of the file. */
function testNames(text) {
  return text
    .split("\n")
    .filter((line) => line.trim() !== "")
    .map((line) => line.split(";")[0].trim());
}

const text = fs.existsSync(KNOWN_RED_FILE) ? fs.readFileSync(KNOWN_RED_FILE, "utf8") : "";
const names = testNames(text).map(escapeForPattern);
if (names.length > 0) process.stdout.write(`^(?!.*(?:${names.join("|")})).*$`);
