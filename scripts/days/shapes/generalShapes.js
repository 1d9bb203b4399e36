// Shapes that mix kinds of any sort, fill a long day, or strike whole places.

/** Up to so many named kinds, all of them are put in. */
const MOST_KINDS_PUT_IN = 3;

const AWAY_KINDS = ["core_cut", "node_kill", "after_ack_wipe", "disk_stall", "node_freeze"];
const SHORT_AWAY_KINDS = ["disk_stall", "node_freeze"];

const PLACE_KINDS = [
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
  about: "one to three kinds of any sort, drawn alike, at any moment",
  lengthSeconds: 34,
  fill(schedule) {
    const { random, kinds } = schedule;
    const count = random.integer(1, 3);
    const drawn = Array.from({ length: count }, () => random.pick(kinds));
    const chosen = kinds.length <= MOST_KINDS_PUT_IN ? kinds : drawn;
    for (const kind of chosen) {
      schedule.add(kind, random.between(2, 22));
      if (random.chance(0.35)) schedule.add(kind, random.between(4, 25));
    }
    schedule.add("config_change", 27);
  },
};

const long = {
  about: "a long day with hundreds of changes; a counted machine is away for most of it and returns",
  lengthSeconds: 70,
  trafficShare: 0.35,
  fill(schedule) {
    const { random } = schedule;
    const awayKind = random.pick(AWAY_KINDS);
    const awaySeconds = SHORT_AWAY_KINDS.includes(awayKind) ? random.between(6, 15) : random.between(20, 40);
    const awayAt = random.between(3, 8);
    const awayFields = { on: "core", count: 1, for_s: awaySeconds };
    if (awayKind === "node_kill") awayFields.how = random.pick(["power", "power race", "leader power meet"]);
    schedule.add(awayKind, awayAt, awayFields);
    for (let at = 2; at < 58; at += 0.4)
      schedule.add("config_change", at, { how: random.pick(["route", "weights", "timeout", "idle"]) });
    schedule.add("config_race", 10, { count: 60, gap_s: 0.7 });
    const lateLoss = random.pick(["after_ack_wipe", "replace_core", "node_kill"]);
    schedule.add(lateLoss, random.between(50, 58), { on: "core" });
  },
};

const places = {
  about: "zones lost and cut off, nodes cut off, machines added, emptied and rolled",
  lengthSeconds: 38,
  fill(schedule) {
    const { random } = schedule;
    for (let at = 2.5; at < 24; at += random.between(5, 9)) schedule.add(random.pick(PLACE_KINDS), at);
    schedule.addConfigChanges(random.between(2, 5), 30);
  },
};

module.exports = { mix, long, places };
