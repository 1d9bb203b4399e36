import * as path from "path";

type WarningCounts = Record<string, number>;
interface WarningBudgetModule {
  countByFolder(files: { file: string; warnings: number }[]): WarningCounts;
  differences(budget: WarningCounts, counts: WarningCounts): { folder: string; budgeted: number; found: number }[];
  folderOf(file: string): string;
  loweredBudget(budget: WarningCounts, counts: WarningCounts): WarningCounts;
}
const { countByFolder, differences, folderOf, loweredBudget } = jest.requireActual<WarningBudgetModule>(
  path.join(__dirname, "../../scripts/lint/warningBudget.js"),
);

test("warnings count for the folder directly below src, or for the top-level folder of other files", () => {
  expect(folderOf("src/cli/cli.ts")).toBe("src/cli");
  expect(folderOf("src/control/group/log.ts")).toBe("src/control");
  expect(folderOf("src/main.ts")).toBe("src");
  expect(folderOf("platform/test/seam.test.ts")).toBe("platform");
  expect(folderOf("jest.config.js")).toBe(".");
  const files = [
    { file: "src/cli/cli.ts", warnings: 2 },
    { file: "src/cli/simCommand.ts", warnings: 3 },
    { file: "test/tools.ts", warnings: 0 },
  ];
  expect(countByFolder(files)).toEqual({ "src/cli": 5 });
});

test("counts above and below the budget are both reported, and a folder without a budget may have no warnings", () => {
  expect(differences({ "src/cli": 5, test: 1 }, { "src/cli": 5, test: 1 })).toEqual([]);
  expect(differences({ "src/cli": 5, test: 1 }, { "src/cli": 4, "src/csp": 2, test: 3 })).toEqual([
    { folder: "src/cli", budgeted: 5, found: 4 },
    { folder: "src/csp", budgeted: 0, found: 2 },
    { folder: "test", budgeted: 1, found: 3 },
  ]);
});

test("the budget is lowered to the counts, and a folder without warnings is removed from it", () => {
  expect(loweredBudget({ test: 3, "src/cli": 5 }, { "src/cli": 4 })).toEqual({ "src/cli": 4 });
});

test("the budget of a folder is never raised, and a new folder may not raise the total", () => {
  expect(() => loweredBudget({ "src/cli": 5, test: 3 }, { "src/cli": 6 })).toThrow("src/cli 5 -> 6");
  expect(() => loweredBudget({ "src/cli": 5 }, { "src/cli": 5, "src/new": 1 })).toThrow("5 -> 6");
  expect(loweredBudget({ "src/cli": 5 }, { "src/cli": 3, "src/new": 2 })).toEqual({ "src/cli": 3, "src/new": 2 });
});
