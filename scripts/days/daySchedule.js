const { FAULT_KINDS } = require("./faultKinds");
const { MACHINES_WITH_DISK } = require("./machineClasses");

const FIRST_CONFIG_CHANGE_AT = 1.3;
const SINGLE_CHANGE_PROBABILITY = 0.7;
const SECOND_LOSS_STEP_SECONDS = 0.5;
const SECOND_LOSS_KINDS = ["after_ack_wipe", "node_kill", "replace_core", "after_ack_kill", "core_cut"];

/**
 * One planned operation or fault of a day. Further fields depend on the kind.
 * @typedef {object} ScheduleEntry
 * @property {boolean} planned planned work rather than a fault
 * @property {number} at seconds from the start of the day
 * @property {string} kind a key of FAULT_KINDS
 */

/** The entries of one day while they are drawn. */
class DaySchedule {
  /**
   * @param {import("./seededRandom").SeededRandom} random
   * @param {import("./siteFile").Site} site
   * @param {string[]} kinds the kinds from which the shape "mix" draws
   * @param {Set<string> | null} listedKinds the only kinds that the deployment may meet, or null for all
   */
  constructor(random, site, kinds, listedKinds) {
    this.random = random;
    this.site = site;
    this.kinds = kinds;
    this.listedKinds = listedKinds;
    /** @type {ScheduleEntry[]} */
    this.entries = [];
  }

  /** Adds an entry of the kind: its drawn fields, with `fixedFields` in place of those. A kind not listed is left out. */
  add(kind, at, fixedFields = {}) {
    if (this.listedKinds !== null && !this.listedKinds.has(kind)) return;
    const { planned = false, drawFields } = FAULT_KINDS[kind];
    const fields = { ...drawFields(this.random, this.site), ...fixedFields };
    if (fields.how === "" || fields.how === undefined) delete fields.how;
    this.entries.push({ planned, at: Number(at.toFixed(2)), kind, ...fields });
  }

  /** Configuration changes all along the day up to `end`, one every `gap` seconds, so that each fault meets one. */
  addConfigChanges(gap, end) {
    for (let at = FIRST_CONFIG_CHANGE_AT; at < end; at += gap) {
      const kind = this.random.chance(SINGLE_CHANGE_PROBABILITY) ? "config_change" : "config_race";
      this.add(kind, at);
    }
  }

  /** A loss that follows another one: a whole number of half seconds after `firstLossEnds`. */
  addSecondLoss(firstLossEnds) {
    const at = firstLossEnds + this.random.integer(0, 12) * SECOND_LOSS_STEP_SECONDS;
    const kind = this.random.pick(SECOND_LOSS_KINDS);
    this.add(kind, at, this.secondLossFields(kind));
  }

  secondLossFields(kind) {
    if (kind === "node_kill") return { on: this.random.pick(MACHINES_WITH_DISK) };
    if (kind === "core_cut") return { for_s: this.random.between(3, 8) };
    return {};
  }
}

module.exports = { DaySchedule };
