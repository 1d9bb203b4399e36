#!/usr/bin/env node
// What a day's work costs one replica of a shard, on a real disk: longest stall of the event loop, bytes written a put,
// memory, start time, time to fill a new replica in another process, and put latency meanwhile. A day of the Trust is about
// 90,000 lots and a million requests over eight shards; every request is taken as one held by its shard.
//   node scripts/day.js [parts of a day ...]        node scripts/day.js 0 0.1 1
require("../dist/src/tools/shardDay/command.js");
