// Formats a day as TOML, in the platform's format.
const { DAY_SHAPES } = require("./dayShapes");
const { DaySchedule } = require("./daySchedule");
const { FAULT_KINDS } = require("./faultKinds");
const { SeededRandom } = require("./seededRandom");

/** Draws how the day ends: normally (null), or with the whole system down for `down_s` seconds and checked afterwards. */
function drawClosing(random) {
  return random.pick([
    null,
    { kind: "power_off_all", down_s: random.between(0.5, 2), how: random.pick(["all", "timed", "taken"]) },
    { kind: "wipe_after_ack", down_s: random.between(0.5, 2), how: random.pick(["all", "timed", "taken"]) },
    { kind: "kill_all", down_s: random.between(0.5, 2) },
  ]);
}

function tomlValue(value) {
  return typeof value === "string" ? JSON.stringify(value) : String(value);
}

function tomlInlineTable(fields) {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name} = ${tomlValue(value)}`);
  return `{ ${pairs.join(", ")} }`;
}

function tomlEntries(entries, isPlanned) {
  return entries
    .filter((entry) => entry.planned === isPlanned)
    .map(({ planned: _planned, ...fields }) => `  ${tomlInlineTable(fields)},`);
}

/** Returns the traffic lines of the site with their rates multiplied by `share`. */
function scaledTraffic(trafficLines, share) {
  return trafficLines.map((line) =>
    line.replace(/per_s = ([\d.]+)/, (_match, rate) => `per_s = ${(Number(rate) * share).toFixed(1)}`),
  );
}

/**
 * Chooses the shape of the day: the requested one, "mix" if kinds are given, else a random one. It draws in any case, so that
 * later draws don't depend on the options.
 */
function shapeName(random, options) {
  const drawn = random.pick(Object.keys(DAY_SHAPES));
  if (options.shape !== undefined) return options.shape;
  return options.kinds === null ? drawn : "mix";
}

/**
 * Returns the text of a day file. The same options must always give the same text, so the order of the draws is fixed.
 * @param {import("./siteFile").Site} site
 * @param {import("./options").Options} options
 */
function dayFileText(site, options) {
  const random = new SeededRandom(options.seed);
  const name = shapeName(random, options);
  const shape = DAY_SHAPES[name];
  const kinds = (options.kinds ?? Object.keys(FAULT_KINDS)).filter((kind) => options.listedKinds?.has(kind) ?? true);
  const closing = drawClosing(random);
  const schedule = new DaySchedule(random, site, kinds, options.listedKinds);
  shape.addEntries(schedule);
  const entries = schedule.entries.sort((left, right) => left.at - right.at);

  const kindsArgument = options.kinds === null ? "" : ` --kinds ${options.kinds.join(",")}`;
  const lines = [
    `# node scripts/days.js --seed ${options.seed} --shape ${name}${kindsArgument}`,
    `name = "${name}-${options.seed}"`,
    `seed = ${options.seed}`,
    `length_s = ${shape.lengthSeconds}.0`,
  ];
  if (closing !== null) lines.push(`closing = ${tomlInlineTable(closing)}`);
  lines.push("plan = [", ...tomlEntries(entries, true), "]");
  lines.push("faults = [", ...tomlEntries(entries, false), "]");
  if (shape.trafficShare !== undefined && site.traffic.length > 0) {
    lines.push("traffic = [", ...scaledTraffic(site.traffic, shape.trafficShare), "]");
  }
  return `${lines.join("\n")}\n`;
}

module.exports = { dayFileText };
