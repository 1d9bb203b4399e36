// The budget of lint warnings: how many each folder may have. It only falls, so that warnings of old code don't hide new ones.

/**
 * Warnings by folder; a folder that is not named has none.
 * @typedef {Record<string, number>} WarningCounts
 */

/**
 * A folder whose number of warnings differs from its budget.
 * @typedef {object} Difference
 * @property {string} folder
 * @property {number} budgeted
 * @property {number} found
 */

/** A new budget was refused because it would allow more warnings than before. */
class BudgetRaisedError extends Error {}

/** The folder that a file counts for: `src/NAME` inside src, else the folder at the top ("." for files at the root). */
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
 * The folders whose count differs from the budget, by name.
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
 * The budget after warnings were removed. A folder's number is never raised; a folder that has none yet gets one only if the
 * total doesn't rise (files were moved into it).
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
    throw new BudgetRaisedError(`more warnings than before in all: ${total(budget)} -> ${total(counts)}`);
  }
  return Object.fromEntries(Object.entries(counts).sort(([left], [right]) => (left < right ? -1 : 1)));
}

module.exports = { BudgetRaisedError, countByFolder, differences, folderOf, loweredBudget, total };
