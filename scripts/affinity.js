#!/usr/bin/env node
// Compares prefix affinity with the power of two random choices: how often the chosen endpoint of a model already has the
// prefix of the prompt in its cache. Runs in virtual time.
//   node scripts/affinity.js [seed ...]
require("../dist/src/tools/measurements/prefixAffinity.js");
