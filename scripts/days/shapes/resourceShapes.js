// Shapes with faults of the resources of a process: its disk, clock and processor, and the endpoints that it calls.

const DISK_KINDS = ["disk_stall", "disk_full", "disk_slow"];

/** Clock steps are listed twice, so that they are drawn twice as often. */
const CLOCK_KINDS = ["clock_step", "clock_step", "node_freeze", "node_slow"];

const CALL_KINDS = [
  "srv_grey",
  "srv_lying_health",
  "srv_flap",
  "srv_crash",
  "garble",
  "answer_lost",
  "reset_conns",
  "idle_race",
  "replace_with_reuse",
  "srv_slow",
  "cold_return",
];

const disks = {
  description: "stalled, slow and full disks, with losses of machines",
  lengthSeconds: 36,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = 2.5; at < 24; at += random.between(4, 9)) schedule.add(random.pick(DISK_KINDS), at);
    if (random.chance(0.6)) schedule.addSecondLoss(random.between(4, 20));
    schedule.addConfigChanges(random.between(2, 5), 30);
  },
};

const clocks = {
  description: "stepped clocks, frozen and slow processes, with configuration changes and a loss",
  lengthSeconds: 36,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = 2.5; at < 24; at += random.between(3, 7)) schedule.add(random.pick(CLOCK_KINDS), at);
    if (random.chance(0.6)) schedule.addSecondLoss(random.between(4, 20));
    schedule.addConfigChanges(random.between(2, 5), 30);
  },
};

const calls = {
  description:
    "endpoints that hang, reset connections or send garbled, duplicate or no responses, and broken connections",
  lengthSeconds: 34,
  addEntries(schedule) {
    const { random } = schedule;
    for (let at = 2; at < 24; at += random.between(2, 5)) schedule.add(random.pick(CALL_KINDS), at);
    if (random.chance(0.4)) schedule.add("node_kill", random.between(6, 18), { on: "front" });
  },
};

module.exports = { disks, clocks, calls };
