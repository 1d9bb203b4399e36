import * as path from "path";

interface Violation {
  from: string;
  to: string;
  rule: { name: string };
}
const { refuseAdded } = jest.requireActual<{ refuseAdded(known: Violation[], found: Violation[]): void }>(
  path.join(__dirname, "../../scripts/lint/knownViolations.js"),
);
const violation = (name: string, from: string): Violation => ({ from, to: "src/common/fault.ts", rule: { name } });

test("the list of known violations shrinks, also while files are renamed", () => {
  const known = [violation("no-circular", "src/a.ts"), violation("no-circular", "src/b.ts")];
  expect(() => refuseAdded(known, known)).not.toThrow();
  expect(() => refuseAdded(known, [violation("no-circular", "src/renamed.ts")])).not.toThrow();
  expect(() => refuseAdded(known, [])).not.toThrow();
});

test("a rule that is broken more often is refused, also when another is broken less", () => {
  const known = [violation("no-circular", "src/a.ts"), violation("node-imports-down", "src/b.ts")];
  const found = [violation("no-circular", "src/a.ts"), violation("no-circular", "src/c.ts")];
  expect(() => refuseAdded(known, found)).toThrow("no-circular 1 -> 2");
  expect(() => refuseAdded([], [violation("rpc-imports-down", "src/a.ts")])).toThrow("rpc-imports-down 0 -> 1");
});
