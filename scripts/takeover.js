#!/usr/bin/env node
// How long a shard has no lead that serves after a store is lost, in virtual time, split by whether the store led the
// shard or only held a copy; ten seeds for each kind of loss.   node scripts/takeover.js [seeds]
require("../dist/src/tools/measurements/shardTakeover.js");
