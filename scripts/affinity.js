#!/usr/bin/env node
// Prefix affinity against two random choices: how often a model's replica had the prompt's prefix, in virtual time.
//   node scripts/affinity.js [seed ...]
require("../dist/src/tools/measurements/prefixAffinity.js");
