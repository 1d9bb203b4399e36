// The list of known violations of the import rules (.dependency-cruiser-known-violations.json). It may only get shorter.

/**
 * A violation in dependency-cruiser's "baseline" output format, with only the fields that are used here.
 * @typedef {object} Violation
 * @property {string} type
 * @property {string} from
 * @property {string} to
 * @property {{ severity: string, name: string }} rule
 * @property {{ name: string, dependencyTypes: string[] }[]} [cycle] the files of an import cycle
 */

/** A rule has more violations than before, so the new list is not accepted. */
class ViolationsAddedError extends Error {}

/** Counts the violations of each rule. @param {Violation[]} violations @returns {Record<string, number>} */
function countByRule(violations) {
  const counts = {};
  for (const { rule } of violations) counts[rule.name] = (counts[rule.name] ?? 0) + 1;
  return counts;
}

/** Checks that no rule has more violations than before. Entries may differ, because files may have been renamed. */
function checkNoneAdded(known, found) {
  const before = countByRule(known);
  const added = Object.entries(countByRule(found)).filter(([rule, count]) => count > (before[rule] ?? 0));
  if (added.length === 0) return;
  const list = added.map(([rule, count]) => `${rule} ${before[rule] ?? 0} -> ${count}`).join(", ");
  throw new ViolationsAddedError(`more violations than before: ${list}`);
}

/** Formats the list with one violation per line, so that parallel changes merge. @param {Violation[]} violations */
function listText(violations) {
  const lines = violations
    .map(({ type, from, to, rule, cycle }) => JSON.stringify({ type, from, to, rule, cycle }))
    .sort();
  return lines.length === 0 ? "[]\n" : `[\n${lines.join(",\n")}\n]\n`;
}

module.exports = { ViolationsAddedError, countByRule, listText, checkNoneAdded };
