// Shapes that test configuration changes by operators while the control group loses machines or acknowledgements.
const { RETURN_QUALIFIERS, joinWords } = require("../qualifiers");

const PARTITION_QUALIFIERS = ["one_way", "seeds", "both", "reset", "refuse", "leader", "race", "meet", "hard"];
const FREQUENT_PARTITION_QUALIFIERS = ["one_way", "leader"];

const cut = {
  description: "a core or store machine is partitioned for 20 s or more during configuration changes",
  lengthSeconds: 40,
  addEntries(schedule) {
    const { random } = schedule;
    const qualifiers = PARTITION_QUALIFIERS.filter((qualifier) =>
      random.chance(FREQUENT_PARTITION_QUALIFIERS.includes(qualifier) ? 0.5 : 0.25),
    );
    schedule.add("core_cut", random.between(2, 6), {
      on: random.chance(0.75) ? "core" : "store",
      count: 1,
      for_s: random.between(20, 26),
      how: joinWords(...qualifiers),
    });
    schedule.addConfigChanges(random.between(1.5, 4), 33);
    if (random.chance(0.5)) schedule.add("ack_lost", random.between(4, 12));
    if (random.chance(0.4)) schedule.add("evacuate", random.between(4, 15));
    if (random.chance(0.4)) schedule.add("after_ack_wipe", random.between(27, 32));
  },
};

const orders = {
  description: "concurrent configuration changes with lost acknowledgements, evacuations and kills of the leader",
  lengthSeconds: 34,
  addEntries(schedule) {
    const { random } = schedule;
    schedule.add("ack_lost", 1, { x: random.between(0.5, 1), for_s: random.between(12, 26) });
    schedule.add("config_race", 2, { count: random.integer(4, 12), gap_s: random.between(0.3, 1) });
    schedule.add("evacuate", random.between(3, 10));
    if (random.chance(0.5)) schedule.add("evacuate", random.between(11, 18));
    schedule.add("node_kill", random.between(5, 12), {
      on: "core",
      how: joinWords("leader", random.pick(["", "power"]), random.pick(RETURN_QUALIFIERS)),
    });
    if (random.chance(0.5))
      schedule.add("core_cut", random.between(13, 20), {
        on: "core",
        for_s: random.between(4, 9),
        how: joinWords("leader", random.pick(["", "one_way"]), "race"),
      });
    if (random.chance(0.4)) schedule.add("bad_config", random.between(3, 20));
    schedule.addConfigChanges(random.between(2, 4), 28);
  },
};

module.exports = { cut, orders };
