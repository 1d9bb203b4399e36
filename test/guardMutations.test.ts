import { Linter } from "eslint";
import * as globals from "globals";
import * as path from "path";
import { Scenarios } from "../src/simulation/scenarios/scenarios";

interface Edit {
  file: string;
  find: string;
  replacement: string;
}
interface Mutation {
  name: string;
  scenario: string;
  expectedInvariants: string[];
  edits: Edit[];
}
const scriptFolder = path.join(__dirname, "../../scripts/guardMutations");
const { MUTATIONS } = jest.requireActual<{ MUTATIONS: Mutation[] }>(path.join(scriptFolder, "mutations.js"));
const { mutatedText, occurrences } = jest.requireActual<{
  mutatedText(edit: Edit): string;
  occurrences(edit: Edit): number;
}>(path.join(scriptFolder, "builtCopy.js"));

/** Reports syntax errors and undefined names. A mutation with such errors would fail in any scenario and prove nothing. */
function syntaxAndNameErrors(text: string): string[] {
  const config: Linter.Config = {
    languageOptions: { sourceType: "commonjs", globals: globals.node },
    rules: { "no-undef": "error" },
  };
  return new Linter().verify(text, config, { allowInlineConfig: false }).map((problem) => problem.message);
}

test.each(MUTATIONS)("mutation $name finds the code of its guard exactly once in the built file", ({ edits }) => {
  expect(edits.length).toBeGreaterThan(0);
  expect(edits.map((edit) => [edit.file, edit.find, occurrences(edit)])).toEqual(
    edits.map((edit) => [edit.file, edit.find, 1]),
  );
  for (const { find, replacement } of edits) expect(replacement).not.toBe(find);
});

test.each(MUTATIONS)("mutation $name gives code that parses and uses only defined names", ({ edits }) => {
  for (const edit of edits) expect(syntaxAndNameErrors(mutatedText(edit))).toEqual([]);
});

test.each(MUTATIONS)("mutation $name has existing scenarios and at least one expected invariant", (mutation) => {
  expect(mutation.expectedInvariants.length).toBeGreaterThan(0);
  for (const scenario of mutation.scenario.split(",")) expect(Scenarios.find(scenario)).toBeDefined();
});

test("the names of mutations are unique", () => {
  const names = MUTATIONS.map((mutation) => mutation.name);
  expect(new Set(names).size).toBe(names.length);
});
