#!/usr/bin/env node
// Prints the pattern of test names that jest runs when the tests named in KNOWN-RED.txt are passed over; nothing if none is.
// A line names a test up to its first semicolon; what follows is the reason.
//   node scripts/knownRedPattern.js
const fs = require("fs");
const path = require("path");

const KNOWN_RED_FILE = path.join(__dirname, "../KNOWN-RED.txt");

/** The text as a regular expression that matches it literally. */
function escapeForPattern(text) {
  return text.replace(/[.*+?^${}()|[\]\\]/g, "\\$&");
}

/** The names of the tests in the file's text. */
function testNames(text) {
  return text
    .split("\n")
    .filter((line) => line.trim() !== "")
    .map((line) => line.split(";")[0].trim());
}

const text = fs.existsSync(KNOWN_RED_FILE) ? fs.readFileSync(KNOWN_RED_FILE, "utf8") : "";
const names = testNames(text).map(escapeForPattern);
if (names.length > 0) process.stdout.write(`^(?!.*(?:${names.join("|")})).*$`);
