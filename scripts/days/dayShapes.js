const { calls, clocks, disks } = require("./shapes/resourceShapes");
const { acks, power, second, storm } = require("./shapes/lossShapes");
const { cut, orders } = require("./shapes/configurationShapes");
const { long, mix, places } = require("./shapes/generalShapes");

/**
 * @typedef {object} DayShape
 * @property {string} about what the shape is for
 * @property {number} lengthSeconds how long traffic goes on
 * @property {number} [trafficShare] the part of the site's own traffic; all of it if left out
 * @property {(schedule: import("./daySchedule").DaySchedule) => void} fill adds the entries of one day
 */

/** The shapes by name. A seed draws one by its position: a new shape goes last. @type {Record<string, DayShape>} */
const DAY_SHAPES = { mix, cut, orders, second, long, acks, disks, clocks, power, calls, storm, places };

module.exports = { DAY_SHAPES };
