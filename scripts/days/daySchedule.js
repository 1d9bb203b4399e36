const { FAULT_KINDS } = require("./faultKinds");
const { MACHINES_WITH_DISK } = require("./machineClasses");

const FIRST_CONFIG_CHANGE_SECONDS = 1.3;
const SINGLE_CHANGE_PROBABILITY = 0.7;
const SECOND_LOSS_STEP_SECONDS = 0.5;
const SECOND_LOSS_KINDS = ["after_ack_wipe", "node_kill", "replace_core", "after_ack_kill", "core_cut"];

/**
 * A planned operation or fault of a day. Further fields depend on the kind.
 * @typedef {object} ScheduleEntry
 * @property {boolean} planned whether this is a planned operation, not a fault
 * @property {number} at seconds from the start of the day
 * @property {string} kind a key of FAULT_KINDS
 */

/** Collects the randomly drawn entries of one day. */
class DaySchedule {
  /**
   * @param {import("./seededRandom").SeededRandom} random
   * @param {import("./siteFile").Site} site
   * @param {string[]} kinds the kinds that the shape "mix" draws from
   * @param {Set<string> | null} listedKinds the kinds that may occur in the deployment, or null for all
   */
  constructor(random, site, kinds, listedKinds) {
    this.random = random;
    this.site = site;
    this.kinds = kinds;
    this.listedKinds = listedKinds;
    /** @type {ScheduleEntry[]} */
    this.entries = [];
  }

  /** Adds an entry with random fields, which `fixedFields` override. Ignores kinds that may not occur in the deployment. */
  add(kind, at, fixedFields = {}) {
    if (this.listedKinds !== null && !this.listedKinds.has(kind)) return;
    const { planned = false, drawFields } = FAULT_KINDS[kind];
    const fields = { ...drawFields(this.random, this.site), ...fixedFields };
    if (fields.how === "" || fields.how === undefined) delete fields.how;
    this.entries.push({ planned, at: Number(at.toFixed(2)), kind, ...fields });
  }

  /** Adds a configuration change every `gap` seconds until `end`, so that changes coincide with each fault. */
  addConfigChanges(gap, end) {
    for (let at = FIRST_CONFIG_CHANGE_SECONDS; at < end; at += gap) {
      const kind = this.random.chance(SINGLE_CHANGE_PROBABILITY) ? "config_change" : "config_race";
      this.add(kind, at);
    }
  }

  /** Adds a second loss, a random multiple of half a second (at most 6 s) after the end of the first. */
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
