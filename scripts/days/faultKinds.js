// The kinds of planned operations and faults, and the random fields of their entries. The order of the kinds and of the draws
// must not change, or a seed gives another day than before.
const { ALL_MACHINES, MACHINES_WITH_DISK } = require("./machineClasses");
const { RETURN_QUALIFIERS, joinWords } = require("./qualifiers");

/** Which machine of the class is killed: any machine, the leader, one that serves a read, or a membership seed node. */
const MACHINE_QUALIFIERS = ["", "leader", "reader", "seed"];

/**
 * @typedef {object} FaultKind
 * @property {boolean} [planned] whether this is a planned operation, not a fault
 * @property {(random: import("./seededRandom").SeededRandom, site: import("./siteFile").Site) => object} drawFields
 *   draws the fields of one entry
 */

/** @type {Record<string, FaultKind>} */
const FAULT_KINDS = {
  burst: {
    drawFields: (random, site) => ({
      class: random.pick(site.classes),
      x: random.between(1.3, 5),
      for_s: random.between(2, 5),
    }),
  },
  srv_crash: {
    drawFields: (random, site) => ({
      service: random.pick(site.services),
      share: random.between(0.1, 0.3, 2),
      for_s: random.between(3, 7),
      how: random.pick(["", "dark", "gone", "across"]),
    }),
  },
  release: {
    planned: true,
    drawFields: (random) => ({ share: random.between(0.2, 0.5, 2), x: 1, gap_s: random.between(0.6, 1.3) }),
  },
  answer_lost: {
    drawFields: (random) => ({
      how: random.pick(["", "reset"]),
      share: 0.5,
      x: random.between(0.02, 0.1, 2),
      for_s: random.between(3, 8),
    }),
  },
  garble: {
    drawFields: (random) => ({
      how: random.pick(["", "extra", "extra late"]),
      share: 0.6,
      x: random.between(0.02, 0.08, 2),
      for_s: random.between(3, 8),
    }),
  },
  node_kill: {
    drawFields: (random) => ({
      on: random.pick(["core", "core", "store", "front"]),
      count: 1,
      for_s: random.between(1, 6),
      how: joinWords(random.pick(MACHINE_QUALIFIERS), random.pick(["", "power"]), random.pick(RETURN_QUALIFIERS)),
    }),
  },
  node_freeze: {
    drawFields: (random) => ({
      on: random.pick(ALL_MACHINES),
      count: 1,
      for_s: random.between(1.5, 8),
      how: random.pick(["", "leader"]),
    }),
  },
  roll_term: {
    planned: true,
    drawFields: (random) => ({
      share: random.between(0.3, 1, 2),
      x: 1,
      gap_s: random.between(0.8, 1.5),
      how: random.pick(["", "busy", "remove"]),
    }),
  },
  add_nodes: { planned: true, drawFields: (random) => ({ on: random.pick(ALL_MACHINES), count: 1 }) },
  replace_core: {
    drawFields: (random) => ({
      on: random.pick(MACHINES_WITH_DISK),
      x: random.between(0.5, 3),
      how: random.pick(["", "", "planned", "leader"]),
    }),
  },
  seed_turnover: { planned: true, drawFields: () => ({}) },
  after_ack_kill: {
    drawFields: (random) => ({
      on: random.pick(MACHINES_WITH_DISK),
      count: 1,
      for_s: random.between(1, 4),
      how: random.pick(["", "kill", "timed", "taken"]),
    }),
  },
  after_ack_wipe: {
    drawFields: (random) => ({
      on: random.pick(MACHINES_WITH_DISK),
      count: 1,
      for_s: random.between(1, 4),
      how: random.pick(["", "timed", "taken"]),
    }),
  },
  core_cut: {
    drawFields: (random) => ({
      on: random.pick(["core", "core", "store"]),
      count: 1,
      for_s: random.pick([4.5, 8, 20, 23]),
      how: joinWords(
        random.pick(["", "leader"]),
        random.pick(["", "one_way", "seeds", "both", "reset", "refuse"]),
        random.pick(["", "race", "meet", "hard"]),
      ),
    }),
  },
  config_change: {
    planned: true,
    drawFields: (random) => ({ how: random.pick(["route", "weights", "timeout", "tenant", "quota", "idle"]) }),
  },
  config_race: {
    planned: true,
    drawFields: (random) => ({ count: random.integer(1, 6), gap_s: random.between(0.3, 1.5) }),
  },
  bad_config: {
    planned: true,
    drawFields: (random) => ({
      count: random.integer(1, 9),
      gap_s: random.between(0.3, 1),
      how: random.pick([
        "",
        "cut_short",
        "unknown_service",
        "same_place",
        "no_weight",
        "no_timeout",
        "old_version",
        "same_version",
        "stale_match",
        "shared_key",
      ]),
    }),
  },
  retire: {
    planned: true,
    drawFields: (random) => ({ for_s: random.between(8.5, 11), how: random.pick(["", "wipe"]) }),
  },
  srv_slow: { drawFields: (random) => ({ share: 0.15, x: random.between(2, 8), for_s: random.between(3, 8) }) },
  srv_grey: {
    drawFields: (random, site) => ({
      share: 0.15,
      x: random.between(0.3, 0.9),
      for_s: random.between(4, 8),
      how: random.pick(["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
      ...(random.chance(0.2) ? { to_zone: random.pick(site.zones) } : {}),
    }),
  },
  srv_lying_health: {
    drawFields: (random) => ({
      share: 0.1,
      for_s: random.between(4, 8),
      how: random.pick(["errors", "hang", "reset", "bad"]),
    }),
  },
  srv_flap: { drawFields: (random) => ({ share: 0.1, gap_s: random.between(0.7, 2), for_s: random.between(4, 8) }) },
  replace_with_reuse: { drawFields: (random) => ({ share: 0.15, how: random.pick(["", "drain", "dark"]) }) },
  scale_out: { planned: true, drawFields: (random) => ({ share: 0.3, gap_s: random.between(1, 4) }) },
  scale_in: { planned: true, drawFields: (random) => ({ share: 0.15, how: random.pick(["", "spot"]) }) },
  cold_return: {
    drawFields: (random, site) => ({
      zone: random.pick(site.zones),
      for_s: random.between(3, 6),
      how: random.pick(["", "dark"]),
    }),
  },
  node_slow: {
    drawFields: (random) => ({
      on: random.pick(ALL_MACHINES),
      count: 1,
      x: random.between(3, 8),
      for_s: random.between(3, 8),
    }),
  },
  herd_kill: {
    drawFields: (random) =>
      random.pick([
        { on: "core", how: "power" },
        { on: "core" },
        { on: "core", how: "taken" },
        { share: 0.6, how: "power" },
        { share: 0.6 },
      ]),
  },
  disk_slow: {
    drawFields: (random) => ({
      on: random.pick(MACHINES_WITH_DISK),
      count: 1,
      x: random.pick([10, 30, 100]),
      for_s: random.between(3, 10),
    }),
  },
  disk_full: {
    drawFields: (random) => ({ on: random.pick(MACHINES_WITH_DISK), count: 1, for_s: random.between(3, 10) }),
  },
  disk_stall: {
    drawFields: (random) => ({ on: random.pick(MACHINES_WITH_DISK), count: 1, for_s: random.between(2, 10) }),
  },
  clock_step: {
    drawFields: (random) => ({
      x: random.pick([500, 2000, 10000, 60000]),
      share: random.pick([0.3, 0.6, 1]),
      for_s: random.between(3, 8),
      how: random.pick(["back", "ahead"]),
    }),
  },
  hup: { planned: true, drawFields: (random) => ({ share: random.between(0.3, 1, 2), gap_s: random.between(0.5, 2) }) },
  reset_conns: { drawFields: (random) => ({ share: random.between(0.1, 0.5, 2), x: random.between(0.3, 0.9) }) },
  idle_race: {
    drawFields: (random) => ({ share: 0.5, x: random.pick([100, 300, 1000]), for_s: random.between(4, 10) }),
  },
  zone_loss: { drawFields: (random, site) => ({ zone: random.pick(site.zones), for_s: random.between(2, 6) }) },
  zone_cut: { drawFields: (random, site) => ({ zone: random.pick(site.zones), for_s: random.between(3, 12) }) },
  node_cut: {
    drawFields: (random) => ({
      share: random.between(0.1, 0.3, 2),
      for_s: random.between(3, 8),
      how: random.pick(["", "servers"]),
    }),
  },
  ack_lost: { drawFields: (random) => ({ x: random.between(0.4, 1), for_s: random.between(5, 15) }) },
  evacuate: {
    planned: true,
    drawFields: (random, site) => ({
      zone: random.pick(site.zones),
      for_s: random.between(5, 12),
      how: random.pick(["", "warm"]),
    }),
  },
};

module.exports = { FAULT_KINDS };
