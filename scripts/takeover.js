#!/usr/bin/env node
// Measures how long a shard has no serving leader after the loss of a storage node, separately for shards that the node led
// and shards of which it was a follower. Runs in virtual time, by default with ten seeds for each kind of loss.
//   node scripts/takeover.js [seeds]
require("../dist/src/tools/measurements/shardTakeover.js");
