#!/usr/bin/env node
// First step of the build command in deploy/system.toml: fails with a message that says what is missing if Node.js is too
// old or npm is not installed. Uses nothing newer than ES2015, so that old versions of Node.js can run it.
const fs = require("fs");
const path = require("path");

const MIN_MAJOR_VERSION = 20;

/**
 * Returns the reason why the project can't be built on this machine, or undefined if it can.
 * `version` has the format of process.version, `searchPath` that of PATH.
 */
function unfit(version, searchPath) {
  const major = Number(version.replace(/^v/, "").split(".")[0]);
  if (!(major >= MIN_MAJOR_VERSION))
    return (
      `Node.js ${MIN_MAJOR_VERSION} or later is needed, this is ${version}. Remove the distribution's own package \`npm\`, ` +
      `then install a package \`nodejs\` of that version that includes npm: the two packages conflict.`
    );
  const folders = searchPath.split(path.delimiter);
  if (!folders.some((folder) => fs.existsSync(path.join(folder, "npm"))))
    return `npm is missing: no folder of PATH (${searchPath}) contains it. The package \`nodejs\` of Node.js ${MIN_MAJOR_VERSION} includes it.`;
  return undefined;
}

module.exports = { unfit };
if (require.main === module) {
  const reason = unfit(process.version, process.env.PATH || "");
  if (reason !== undefined) {
    console.error(`petrelbeam can't be built here: ${reason}`);
    process.exitCode = 1;
  }
}
