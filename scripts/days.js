#!/usr/bin/env node
// Generates a day file: a random schedule of faults and planned operations for a deployment on the users' platform. The same
// seed gives the same file.
//   node scripts/days.js --site FILE --seed N [--shape NAME] [--kinds A,B] [--listed FILE] [--out FILE]
//   node scripts/days.js --shapes
// --site    the site file, which names the deployment's zones, machines, services and request classes.
// --shape   one of the shapes that --shapes lists; by default the seed decides.
// --kinds   the only kinds of fault and operation to draw from (shape "mix").
// --listed  a file with the test bench's list of kinds that may occur in this deployment. Other kinds are left out of the
//           schedule; a kind in the list that this script doesn't know is an error.
// --out     the file to write; standard output by default.
const fs = require("fs");
const { dayFileText } = require("./days/dayFile");
const { DAY_SHAPES } = require("./days/dayShapes");
const { InputError } = require("./days/input");
const { parseOptions } = require("./days/options");
const { readSite } = require("./days/siteFile");

const EXIT_BAD_INPUT = 2;

function printShapes() {
  for (const [name, shape] of Object.entries(DAY_SHAPES)) console.log(`${name.padEnd(8)} ${shape.description}`);
}

function main(args) {
  if (args.length === 1 && args[0] === "--shapes") {
    printShapes();
    return;
  }
  const options = parseOptions(args);
  const text = dayFileText(readSite(options.site), options);
  if (options.out === undefined) process.stdout.write(text);
  else fs.writeFileSync(options.out, text);
}

try {
  main(process.argv.slice(2));
} catch (error) {
  if (!(error instanceof InputError)) throw error;
  console.error(`days: ${error.message}`);
  process.exitCode = EXIT_BAD_INPUT;
}
