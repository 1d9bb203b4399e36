#!/usr/bin/env node
// Runs ESLint over the repository. Fails on errors and on folders with more warnings than lint-budget.json allows.
//   node scripts/lintBudget.js            checks; reports folders with fewer warnings than their budget
//   node scripts/lintBudget.js --exact    checks; also fails on folders with fewer warnings than their budget
//   node scripts/lintBudget.js --lower    lowers the budgets to the current counts; fails if one would rise
const { ESLint } = require("eslint");
const fs = require("fs");
const path = require("path");
const {
  BudgetRaisedError,
  countByFolder,
  differences,
  folderOf,
  loweredBudget,
  total,
} = require("./lint/warningBudget");

const ROOT = path.join(__dirname, "..");
const BUDGET_FILE = path.join(ROOT, "lint-budget.json");
const OPTIONS = ["--exact", "--lower"];
const EXIT_FAILED = 1;
const EXIT_BAD_INPUT = 2;

const relativeName = (result) => path.relative(ROOT, result.filePath).split(path.sep).join("/");

/** Prints the problems in ESLint's default format. */
async function printProblems(eslint, results) {
  const formatter = await eslint.loadFormatter("stylish");
  process.stdout.write(await formatter.format(results));
}

/** Compares the counts with the budget and prints the differences. Returns whether the check passed. */
async function checkCounts(eslint, results, budget, counts, isExact) {
  const found = differences(budget, counts);
  const over = found.filter((difference) => difference.found > difference.budgeted);
  const under = found.filter((difference) => difference.found < difference.budgeted);
  const overFolders = new Set(over.map(({ folder }) => folder));
  const inOverFolders = results.filter((result) => overFolders.has(folderOf(relativeName(result))));
  if (inOverFolders.length > 0) await printProblems(eslint, inOverFolders);
  for (const { folder, budgeted, found } of over) {
    console.error(`${folder}: ${found} warnings, ${budgeted} allowed by lint-budget.json`);
  }
  for (const { folder, budgeted, found } of under) {
    console.error(
      `${folder}: ${found} warnings, ${budgeted} allowed by lint-budget.json; lower the budget with npm run lint:budget`,
    );
  }
  console.log(`${total(counts)} warnings, ${total(budget)} allowed`);
  return over.length === 0 && !(isExact && under.length > 0);
}

function lowerBudget(budget, counts) {
  try {
    const lowered = loweredBudget(budget, counts);
    fs.writeFileSync(BUDGET_FILE, `${JSON.stringify(lowered, null, 2)}\n`);
    console.log(`lint-budget.json: ${total(budget)} -> ${total(lowered)} warnings`);
    return true;
  } catch (error) {
    if (!(error instanceof BudgetRaisedError)) throw error;
    console.error(`lint-budget.json: ${error.message}`);
    return false;
  }
}

async function main(args) {
  const unknown = args.find((arg) => !OPTIONS.includes(arg));
  if (unknown !== undefined || args.length > 1) {
    console.error(`expected at most one of ${OPTIONS.join(", ")}`);
    return EXIT_BAD_INPUT;
  }
  const eslint = new ESLint({ cwd: ROOT });
  const results = await eslint.lintFiles(["."]);
  const errors = ESLint.getErrorResults(results);
  if (errors.length > 0) {
    await printProblems(eslint, errors);
    return EXIT_FAILED;
  }
  const budget = JSON.parse(fs.readFileSync(BUDGET_FILE, "utf8"));
  const counts = countByFolder(results.map((each) => ({ file: relativeName(each), warnings: each.warningCount })));
  const passed = args.includes("--lower")
    ? lowerBudget(budget, counts)
    : await checkCounts(eslint, results, budget, counts, args.includes("--exact"));
  return passed ? 0 : EXIT_FAILED;
}

main(process.argv.slice(2)).then((exitCode) => {
  process.exitCode = exitCode;
});
