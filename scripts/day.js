#!/usr/bin/env node
// Measures what the load of one day costs one replica of a shard, on a real disk: longest stall of the event loop, bytes
// written per put, memory, start time, time of the state transfer to a new replica in another process, and put latency during
// that transfer. The reference load of a day is about 90,000 batch jobs and a million live requests on eight shards; the
// measurement assumes that the shard stores every request.
//   node scripts/day.js [fraction of a day ...]        node scripts/day.js 0 0.1 1
require("../dist/src/tools/shardDay/command.js");
