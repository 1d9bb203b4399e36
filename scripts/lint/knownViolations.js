// The list of import rules that old code breaks (.dependency-cruiser-known-violations.json). It only shrinks.

/**
 * A violation as dependency-cruiser lists it in its output type "baseline"; other fields are left out here.
 * @typedef {object} Violation
 * @property {string} type
 * @property {string} from
 * @property {string} to
 * @property {{ severity: string, name: string }} rule
 * @property {{ name: string, dependencyTypes: string[] }[]} [cycle] the files of a circle
 */

/** A new list was refused because some rule would be broken more often than before. */
class ViolationsAddedError extends Error {}

/** How often each rule is broken. @param {Violation[]} violations @returns {Record<string, number>} */
function countByRule(violations) {
  const counts = {};
  for (const { rule } of violations) counts[rule.name] = (counts[rule.name] ?? 0) + 1;
  return counts;
}

/** Checks that no rule is broken more often than before. Files may have been renamed, so the entries may differ. */
function refuseAdded(known, found) {
  const before = countByRule(known);
  const added = Object.entries(countByRule(found)).filter(([rule, count]) => count > (before[rule] ?? 0));
  if (added.length === 0) return;
  const list = added.map(([rule, count]) => `${rule} ${before[rule] ?? 0} -> ${count}`).join(", ");
  throw new ViolationsAddedError(`more violations than before: ${list}`);
}

/** The text of the list: one violation a line, so that parallel changes of it merge. @param {Violation[]} violations */
function listText(violations) {
  const lines = violations
    .map(({ type, from, to, rule, cycle }) => JSON.stringify({ type, from, to, rule, cycle }))
    .sort();
  return lines.length === 0 ? "[]\n" : `[\n${lines.join(",\n")}\n]\n`;
}

module.exports = { ViolationsAddedError, countByRule, listText, refuseAdded };
