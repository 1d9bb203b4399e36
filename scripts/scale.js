#!/usr/bin/env node
// What membership, news and configuration cost by the number of members, in virtual time, with the real processor time of
// the whole fleet (all nodes run in this one process).   node scripts/scale.js [members ...]
require("../dist/src/tools/measurements/memberCosts.js");
