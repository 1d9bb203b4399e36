#!/usr/bin/env node
// Measures what membership, gossip and configuration cost by the number of members. Runs in virtual time; the processor time
// is the real one of the whole fleet, since all nodes run in this process.
//   node scripts/scale.js [members ...]
require("../dist/src/tools/measurements/memberCosts.js");
