// The budget of lint warnings: how many warnings each folder may have. It is only ever lowered, so that warnings in old code
// don't hide new ones.

/**
 * Number of warnings by folder; folders without warnings are absent.
 * @typedef {Record<string, number>} WarningCounts
 */

/**
 * A folder whose number of warnings differs from its budget.
 * @typedef {object} Difference
 * @property {string} folder
 * @property {number} budgeted
 * @property {number} found
 */

/** The new budget would allow more warnings than before, so it is not accepted. */
class BudgetRaisedError extends Error {}

/** Returns the folder that a file counts for: `src/NAME` in a folder of src, else the top-level folder ("." for the root). */
function folderOf(file) {
  const parts = file.split("/");
  if (parts.length === 1) return ".";
  if (parts[0] === "src" && parts.length > 2) return `src/${parts[1]}`;
  return parts[0];
}

/**
 * Counts warnings by folder.
 * @param {{ file: string, warnings: number }[]} files
 * @returns {WarningCounts}
 */
function countByFolder(files) {
  const counts = {};
  for (const { file, warnings } of files) {
    if (warnings === 0) continue;
    const folder = folderOf(file);
    counts[folder] = (counts[folder] ?? 0) + warnings;
  }
  return counts;
}

/**
 * Lists the folders whose count differs from the budget, sorted by name.
 * @param {WarningCounts} budget
 * @param {WarningCounts} counts
 * @returns {Difference[]}
 */
function differences(budget, counts) {
  const folders = [...new Set([...Object.keys(budget), ...Object.keys(counts)])].sort();
  return folders
    .map((folder) => ({ folder, budgeted: budget[folder] ?? 0, found: counts[folder] ?? 0 }))
    .filter(({ budgeted, found }) => budgeted !== found);
}

function total(counts) {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/**
 * Returns the budget lowered to the current counts. The budget of a folder never rises. A folder without a budget gets
 * one if the total doesn't rise, so that files can be moved into a new folder.
 * @param {WarningCounts} budget
 * @param {WarningCounts} counts
 * @returns {WarningCounts}
 */
function loweredBudget(budget, counts) {
  const raised = Object.keys(counts).filter((folder) => folder in budget && counts[folder] > budget[folder]);
  if (raised.length > 0) {
    const list = raised.map((folder) => `${folder} ${budget[folder]} -> ${counts[folder]}`).join(", ");
    throw new BudgetRaisedError(`more warnings than before: ${list}`);
  }
  if (total(counts) > total(budget)) {
    throw new BudgetRaisedError(`more warnings in total than before: ${total(budget)} -> ${total(counts)}`);
  }
  return Object.fromEntries(Object.entries(counts).sort(([left], [right]) => (left < right ? -1 : 1)));
}

module.exports = { BudgetRaisedError, countByFolder, differences, folderOf, loweredBudget, total };
