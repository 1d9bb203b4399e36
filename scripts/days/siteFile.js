// Reads the zones, machine classes, services, request classes and traffic of a deployment from the site file. The platform
// writes each list with one item per line, so matching lines is enough and no TOML parser is needed.
const { InputError, readInputFile } = require("./input");

const listHeader = (list) => `${list} = [`;
const DAY_HEADER = "[[day]]";

/**
 * The parts of a deployment that a day file can refer to.
 * @typedef {object} Site
 * @property {string[]} zones
 * @property {string[]} machines machine classes
 * @property {string[]} services
 * @property {string[]} classes request classes
 * @property {string[]} traffic lines of the deployment's own traffic list
 */

/** Returns the distinct values of `field` in the items of `list`, in the order of the file. */
function distinctValues(file, lines, list, field) {
  const start = lines.findIndex((line) => line.startsWith(listHeader(list)));
  if (start < 0) throw new InputError(`${file}: missing field \`${list}\``);
  const pattern = new RegExp(`^  \\{(?: |.*?, )${field} = "([^"]+)"`);
  const names = new Set();
  for (let index = start + 1; index < lines.length && !lines[index].startsWith("]"); index++) {
    const match = pattern.exec(lines[index]);
    if (match === null) throw new InputError(`${file}:${index + 1}: missing field \`${list}.${field}\``);
    names.add(match[1]);
  }
  if (names.size === 0) throw new InputError(`${file}: \`${list}\` is empty`);
  return [...names];
}

/** Returns the items of the top-level traffic list. Traffic lists inside a day are ignored. */
function trafficLines(lines) {
  const start = lines.findIndex((line) => line.startsWith(listHeader("traffic")));
  const firstDay = lines.findIndex((line) => line.startsWith(DAY_HEADER));
  const isInsideDay = firstDay >= 0 && start > firstDay;
  if (start < 0 || isInsideDay) return [];
  const end = lines.findIndex((line, index) => index > start && line.startsWith("]"));
  return lines.slice(start + 1, end);
}

/** @returns {Site} */
function readSite(file) {
  const lines = readInputFile(file, "--site").split("\n");
  return {
    zones: distinctValues(file, lines, "zones", "name"),
    machines: distinctValues(file, lines, "machines", "class"),
    services: distinctValues(file, lines, "services", "name"),
    classes: distinctValues(file, lines, "classes", "name"),
    traffic: trafficLines(lines),
  };
}

module.exports = { readSite };
