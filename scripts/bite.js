#!/usr/bin/env node
// Shows that the scenarios bite: takes one guard out of a copy of the built code, runs the scenario meant for
// it over a few seeds, and expects the named invariant to be broken. The code itself is not touched.
//   node scripts/bite.js [name ...]
const { spawnSync } = require("child_process");
const fs = require("fs");
const os = require("os");
const path = require("path");

const bites = [
  {
    name: "all-of-view",
    file: "shard/shardCopy.js",
    find: "heard < members.length; heard += 1)\n                if",
    put: "heard < members.length - 2; heard += 1)\n                if",
    scenario: "disk-loss-two",
    expect: ["lot-kept", "no-task-error", "one-position", "never-twice", "stream-exact"],
  },
  {
    name: "level-before-view",
    file: "control/views.js",
    find: "this.choose(view, level.ids, joiners)",
    put: "this.choose(view, [...new Set([...sealed.map((copy) => copy.id), ...joiners])], joiners)",
    also: {
      file: "shard/shardCopy.js",
      find: "if (yield* copy.levelOne(address, body.epoch, until))",
      put: "if (true)",
    },
    scenario: "join-and-lose",
    expect: ["acknowledged-on-every-member"],
  },
  {
    name: "disk-taken-up-again",
    file: "shard/shardCopy.js",
    find: "if (!this.slots.broken || this.retryingDisk)",
    put: "if (true)",
    scenario: "disks-full",
    expect: ["exercised", "service-returns"],
  },
  {
    name: "refusal-in-time",
    file: "store/work.js",
    find: "this.patience(work.life)",
    put: "constants_1.Constants.liveWaitMs",
    scenario: "overload",
    expect: ["exercised"],
  },
  {
    name: "unknown-is-never-rerun",
    file: "store/work.js",
    find: "if (!work.safe) {\n                            this.counts.unknowns",
    put: "if (false) {\n                            this.counts.unknowns",
    also: { file: "store/work.js", find: "const mayGoOn = work.safe &&", put: "const mayGoOn =" },
    scenario: "replicas-dark",
    expect: ["never-twice"],
  },
  {
    name: "items-are-never-rerun",
    file: "store/work.js",
    find: 'replied.fault.tag === "refused" || binding.safe',
    put: "true",
    scenario: "replicas-dark",
    expect: ["never-twice"],
  },
  {
    name: "lost-items-are-unknown",
    file: "store/work.js",
    find: "copy.data.lots[lotId].safe\n",
    put: "true\n",
    scenario: "kill-store",
    expect: ["never-twice"],
  },
  {
    name: "busy-only-after-refusal",
    file: "ingress/ingressNode.js",
    find: 'if (opened.fault.tag === "unknown") {',
    put: 'if (opened.fault.tag === "unknown") return this.busy("open", "x", 1000); else if (false) {',
    scenario: "ingress-deaf",
    expect: ["busy-never-ran"],
  },
  {
    name: "late-puts-are-refused",
    file: "shard/shardCopy.js",
    find: "if (put.stamp.time <= this.published) {",
    put: "if (false) {",
    also: { file: "core/stamp.js", find: "bounds.bigDeltaMs + 2 * bounds.deltaMs + bounds.epsilonMs", put: "-20" },
    scenario: "skew-within,kill-store",
    expect: ["one-position", "one-ledger-order"],
  },
  {
    name: "frontier-held-back",
    file: "shard/shardCopy.js",
    find: "candidate = Math.min(candidate, pending.put.stamp.time - 0.001);",
    put: "",
    scenario: "slow-puts",
    expect: ["one-position", "one-ledger-order", "lot-kept"],
  },
  {
    name: "goodbye-tombstones",
    file: "membership/news.js",
    find: "!fact.gone && now",
    put: "now",
    scenario: "replicas-replaced",
    expect: ["goodbye-respected"],
  },
  {
    name: "drain",
    file: "routing/endpointEligibility.js",
    find: "!control?.drained.includes(endpoint.district) &&",
    put: "",
    scenario: "drain-in-crowd",
    expect: ["drain-respected"],
  },
  {
    name: "slow-start",
    file: "routing/slowStart.js",
    find: "return Math.min(1, Math.max(constants_1.Constants.slowStartFloor, age / constants_1.Constants.slowStartMs));",
    put: "return 1;",
    scenario: "replicas-crash",
    expect: ["not-flooded"],
  },
  {
    name: "stale-ingress-holds",
    file: "constants.js",
    find: "frameStaleMs: 1500",
    put: "frameStaleMs: 60000",
    scenario: "freeze-edge",
    expect: ["config-in-force"],
  },
  {
    name: "compare-and-set",
    file: "control/controlState.js",
    find: "command.ifVersion === current ?",
    put: "true ?",
    scenario: "operators-race",
    expect: ["exercised", "config-at-day-end"],
  },
  {
    name: "majority-before-reply",
    file: "consensus/replication.js",
    find: "const majorityIndex = matches[this.replica.majority() - 1];",
    put: "const majorityIndex = matches[0];",
    scenario: "change-races-lead,control-cut-in-two",
    expect: ["config-at-day-end", "config-never-back", "config-in-force"],
  },
  {
    name: "ended-lots-stop",
    file: "shard/shardState.js",
    find: 'if (lot.ended)\n                return { tag: "no", why: "lot is ended" };',
    put: "",
    also: { file: "store/work.js", find: "lot.open === 0 || lot.ended", put: "lot.open === 0" },
    also2: {
      file: "shard/shardState.js",
      find: 'if (item.state === "waiting") {\n                    item.state = "ended";',
      put: 'if (false) {\n                    item.state = "ended";',
    },
    also3: { file: "store/work.js", find: "|| !lot || lot.ended ||", put: "|| !lot ||" },
    scenario: "crowd",
    expect: ["ended-stops"],
  },
  {
    name: "sigterm-finishes",
    file: "ingress/ingressNode.js",
    find: "this.stopping = true;",
    put: "this.stopping = true; return;",
    scenario: "planned-stops",
    expect: ["planned-moves-answer"],
  },
  {
    name: "suspicion-removes",
    file: "constants.js",
    find: "suspicionMs: 1500",
    put: "suspicionMs: 30000",
    also: { file: "control/views.js", find: "else if (failing.length > 0)", put: "else if (false)" },
    scenario: "store-cut-off",
    expect: ["service-returns"],
  },
  {
    name: "stream-resumes-at-its-piece",
    file: "adapters/replicaHttp.js",
    find: "continueFrom: delivery.pieces",
    put: "continueFrom: delivery.pieces.slice(1)",
    scenario: "replicas-crash",
    expect: ["stream-exact"],
  },
];

const root = path.join(__dirname, "..");
const wanted = process.argv.slice(2);
const unknown = wanted.filter((name) => !bites.some((bite) => bite.name === name));
if (unknown.length > 0) {
  console.error(`no guard ${unknown.join(", ")}; known: ${bites.map((bite) => bite.name).join(" ")}`);
  process.exit(2);
}
let bad = 0;
for (const bite of bites.filter((each) => wanted.length === 0 || wanted.includes(each.name))) {
  const copy = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-bite-"));
  fs.cpSync(path.join(root, "dist"), path.join(copy, "dist"), { recursive: true });
  fs.symlinkSync(path.join(root, "node_modules"), path.join(copy, "node_modules"));
  let planted = true;
  for (const change of [bite, bite.also, bite.also2, bite.also3].filter(Boolean)) {
    const file = path.join(copy, "dist/src", change.file);
    const text = fs.readFileSync(file, "utf8");
    if (!text.includes(change.find)) planted = false;
    fs.writeFileSync(file, text.replace(change.find, change.put));
  }
  const seen = new Map();
  let seeds = 0;
  if (planted)
    for (let seed = 1; seed <= 4; seed += 1) {
      seeds += 1;
      const done = spawnSync(
        process.execPath,
        [
          "dist/src/main.js",
          "sim",
          path.join(root, "deploy/sim.json"),
          "--scenario",
          bite.scenario,
          "--seed",
          String(seed),
        ],
        { cwd: copy, encoding: "utf8", timeout: 200_000 },
      );
      for (const line of done.stdout.split("\n")) {
        const found = /^ {4}([a-z-]+): (.*)/.exec(line);
        if (found && found[1] !== "replay") seen.set(found[1], (seen.get(found[1]) ?? 0) + 1);
      }
      if (bite.expect === null ? seen.size > 0 : bite.expect.some((name) => seen.has(name))) break;
    }
  const red = bite.expect === null ? seen.size > 0 : bite.expect.some((name) => seen.has(name));
  if (!red) bad += 1;
  console.log(
    `${red ? "bites    " : planted ? "NO BITE  " : "NOT FOUND"} ${bite.name}: ${bite.scenario}, ${seeds} seed(s): ${[...seen].map(([name, count]) => `${name} ${count}`).join(", ") || "nothing broken"}`,
  );
  fs.rmSync(copy, { recursive: true, force: true });
}
process.exit(bad > 0 ? 1 : 0);
