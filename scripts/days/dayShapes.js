const { calls, clocks, disks } = require("./shapes/resourceShapes");
const { acks, power, second, storm, writes } = require("./shapes/lossShapes");
const { cut, orders } = require("./shapes/configurationShapes");
const { long, mix, places } = require("./shapes/generalShapes");

/**
 * @typedef {object} DayShape
 * @property {string} description what happens in days of this shape
 * @property {number} lengthSeconds how long traffic is sent
 * @property {number} [trafficShare] factor on the rates of the site's own traffic; 1 if absent
 * @property {(schedule: import("./daySchedule").DaySchedule) => void} addEntries adds the entries of one day
 */

/**
 * The shapes by name. A seed selects a shape by position, so new shapes are added at the end.
 * @type {Record<string, DayShape>}
 */
const DAY_SHAPES = { mix, cut, orders, second, long, acks, disks, clocks, power, calls, storm, places, writes };

module.exports = { DAY_SHAPES };
