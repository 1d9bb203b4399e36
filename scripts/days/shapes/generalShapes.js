// Shapes that mix all kinds, last long, or affect whole zones and groups of nodes.

/** If no more kinds than this are given, the day has entries of all of them instead of a random selection. */
const MAX_KINDS_WITHOUT_SELECTION = 3;

const ABSENCE_KINDS = ["core_cut", "node_kill", "after_ack_wipe", "disk_stall", "node_freeze"];
const SHORT_ABSENCE_KINDS = ["disk_stall", "node_freeze"];

const ZONE_AND_NODE_KINDS = [
  "zone_loss",
  "zone_cut",
  "node_cut",
  "evacuate",
  "retire",
  "roll_term",
  "add_nodes",
  "herd_kill",
  "seed_turnover",
  "hup",
];

const mix = {
  description: "one to three random kinds, each with the same probability, at random times",
  lengthSeconds: 34,
  addEntries(schedule) {
    const { random, kinds } = schedule;
    const count = random.integer(1, 3);
    const drawn = Array.from({ length: count }, () => random.pick(kinds));
    const chosen = kinds.length <= MAX_KINDS_WITHOUT_SELECTION ? kinds : drawn;
    for (const kind of chosen) {
      schedule.add(kind, random.between(2, 22));
      if (random.chance(0.35)) schedule.add(kind, random.between(4, 25));
    }
    schedule.add("config_change", 27);
  },
};

const long = {
  description:
    "a long day with hundreds of configuration changes; a core machine is absent for a long part of it and returns",
  lengthSeconds: 70,
  trafficShare: 0.35,
  addEntries(schedule) {
    const { random } = schedule;
    const absenceKind = random.pick(ABSENCE_KINDS);
    const absenceSeconds = SHORT_ABSENCE_KINDS.includes(absenceKind) ? random.between(6, 15) : random.between(20, 40);
    const absenceAt = random.between(3, 8);
    const absenceFields = { on: "core", count: 1, for_s: absenceSeconds };
    if (absenceKind === "node_kill") absenceFields.how = random.pick(["power", "power race", "leader power meet"]);
    schedule.add(absenceKind, absenceAt, absenceFields);
    for (let at = 2; at < 58; at += 0.4)
      schedule.add("config_change", at, { how: random.pick(["route", "weights", "timeout", "idle"]) });
    schedule.add("config_race", 10, { count: 60, gap_s: 0.7 });
    const lateLoss = random.pick(["after_ack_wipe", "replace_core", "node_kill"]);
    schedule.add(lateLoss, random.between(50, 58), { on: "core" });
  },
};

const places = {
  description: "zones lost and partitioned, nodes partitioned, machines added, evacuated and restarted in turn",
  lengthSeconds: 38,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = 2.5; at < 24; at += random.between(5, 9)) schedule.add(random.pick(ZONE_AND_NODE_KINDS), at);
    schedule.addConfigChanges(random.between(2, 5), 30);
  },
};

module.exports = { mix, long, places };
