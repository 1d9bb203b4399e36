#!/usr/bin/env node
// How long after its acknowledgement a manifest is in force at every ingress, in virtual time, by fleet size and by
// manifest size.   node scripts/dissemination.js
require("../dist/src/tools/measurements/configurationDissemination.js");
