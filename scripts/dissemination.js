#!/usr/bin/env node
// Measures how long after its acknowledgement a configuration is in force at every ingress, by fleet size and by
// configuration size. Runs in virtual time.
//   node scripts/dissemination.js
require("../dist/src/tools/measurements/configurationDissemination.js");
