#!/usr/bin/env node
// Writes one day of faults and planned operations for a deployment of the users' platform, drawn from a seed: the same seed
// gives the same day.
//   node scripts/days.js --site FILE --seed N [--shape NAME] [--kinds A,B] [--listed FILE] [--out FILE]
//   node scripts/days.js --shapes
// --site    the site file, which names the deployment's zones, machines, services and request classes.
// --shape   one of the shapes that --shapes lists; left out, the seed draws it.
// --kinds   every entry of the day is one of these kinds (shape "mix").
// --listed  a file with the test bench's own list of the kinds that the deployment may meet: no other is drawn, and a kind of
//           that list that is not known here is an error.
// --out     the file to write; standard output if left out.
const fs = require("fs");
const { dayFileText } = require("./days/dayFile");
const { DAY_SHAPES } = require("./days/dayShapes");
const { InputError } = require("./days/input");
const { parseOptions } = require("./days/options");
const { readSite } = require("./days/siteFile");

const EXIT_BAD_INPUT = 2;

function printShapes() {
  for (const [name, shape] of Object.entries(DAY_SHAPES)) console.log(`${name.padEnd(8)} ${shape.about}`);
}

function main(words) {
  if (words.length === 1 && words[0] === "--shapes") {
    printShapes();
    return;
  }
  const options = parseOptions(words);
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
