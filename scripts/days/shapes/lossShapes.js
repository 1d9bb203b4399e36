// Shapes with successive losses of machines, their power or their disks.
const { MACHINES_WITH_DISK } = require("../machineClasses");

/** First losses in the shape "second": how long each lasts, and its fixed fields. */
const FIRST_LOSSES = {
  replace_core: { seconds: 1, fields: () => ({ x: 1 }) },
  retire: { seconds: 9, fields: () => ({ for_s: 9 }) },
  after_ack_wipe: { seconds: 2, fields: () => ({ for_s: 2 }) },
  node_kill: { seconds: 3, fields: (on) => ({ for_s: 3, how: "power", on }) },
  core_cut: { seconds: 5, fields: () => ({ for_s: 5 }) },
  add_nodes: { seconds: 0, fields: () => ({ on: "store" }) },
};

const BEFORE_POWER_LOSS_KINDS = ["after_ack_wipe", "retire", "replace_core", "add_nodes", "core_cut", "config_race"];

/** All core machines lose power or their disks at once, or all machines lose power. */
const POWER_LOSSES = [
  { on: "core", how: "power" },
  { on: "core", how: "taken" },
  { share: 1, how: "power" },
];

const STORM_KINDS = [
  "core_cut",
  "after_ack_wipe",
  "after_ack_kill",
  "node_kill",
  "replace_core",
  "disk_stall",
  "node_freeze",
];

const second = {
  description:
    "a second loss a multiple of 0.5 s after a replacement, retirement, return with an empty disk, kill, partition or addition",
  lengthSeconds: 38,
  addEntries(schedule) {
    const { random } = schedule;
    const kind = random.pick(Object.keys(FIRST_LOSSES));
    const at = random.between(2, 6);
    // This is drawn for every kind, so that later draws don't depend on the kind.
    const killedClass = random.pick(MACHINES_WITH_DISK);
    const loss = FIRST_LOSSES[kind];
    schedule.add(kind, at, loss.fields(killedClass));
    const lossEnds = at + loss.seconds;
    schedule.addSecondLoss(lossEnds);
    if (random.chance(0.6)) schedule.addSecondLoss(lossEnds + random.between(6, 14, 0));
    schedule.addConfigChanges(random.between(2.5, 5), 30);
  },
};

const acks = {
  description: "repeated loss of power or a disk right after an acknowledgement",
  lengthSeconds: 38,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = 3; at < 28; at += random.between(3, 8))
      schedule.add(random.pick(["after_ack_wipe", "after_ack_kill"]), at);
    schedule.addConfigChanges(random.between(2, 4), 30);
  },
};

const power = {
  description: "all core machines or the whole system lose power in the middle of the day, once or twice",
  lengthSeconds: 40,
  addEntries(schedule) {
    const { random } = schedule;
    if (random.chance(0.6)) {
      const before = random.pick(BEFORE_POWER_LOSS_KINDS);
      schedule.add(before, random.between(2, 6));
    }
    const firstLossAt = random.between(7, 11);
    schedule.add("herd_kill", firstLossAt, random.pick(POWER_LOSSES));
    if (random.chance(0.5)) schedule.add("herd_kill", random.between(20, 25), { on: "core", how: "power" });
    schedule.addConfigChanges(random.between(2, 5), 32);
  },
};

const storm = {
  description:
    "a core or store machine is lost every few seconds, each loss tolerable on its own, with configuration changes and lost acknowledgements",
  lengthSeconds: 46,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = random.between(2, 4); at < 34; at += random.pick([0.5, 1, 1.5, 2, 3, 4])) {
      const kind = random.pick(STORM_KINDS);
      const fields = { on: random.pick(MACHINES_WITH_DISK) };
      if (kind === "core_cut") fields.for_s = random.between(3, 9);
      if (kind === "disk_stall") fields.for_s = random.between(1, 4);
      schedule.add(kind, at, fields);
    }
    if (random.chance(0.5)) schedule.add("ack_lost", 2, { x: 0.7, for_s: 30 });
    if (random.chance(0.4)) schedule.add("retire", random.between(4, 16));
    schedule.addConfigChanges(random.between(0.8, 2), 36);
  },
};

const writes = {
  description: "full disks of core and store machines in turn, changes meanwhile, and then the loss of other disks",
  lengthSeconds: 44,
  addEntries(schedule) {
    const { random } = schedule;
    let at = random.between(2.5, 4);
    for (let full = random.integer(1, 2); full > 0; full -= 1) {
      const seconds = random.between(3, 7);
      schedule.add("disk_full", at, { on: random.chance(0.8) ? "core" : "store", count: 1, for_s: seconds });
      // A machine counts as lost for some seconds after its trouble.
      at += seconds + random.between(7, 9);
    }
    schedule.add("after_ack_wipe", at, { on: "core", count: 1 });
    schedule.addConfigChanges(random.between(0.8, 2), 36);
  },
};

module.exports = { second, acks, writes, power, storm };
