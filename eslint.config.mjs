// Lint rules of the whole repository: type-checked for TypeScript (src, platform, test), plain Node.js for the scripts.
import js from "@eslint/js";
import { defineConfig } from "eslint/config";
import globals from "globals";
import tseslint from "typescript-eslint";

/** Folders without a warning: there the rules that warn elsewhere are errors. */
const strictFolders = [
  "platform/",
  "scripts/",
  "src/adapters/",
  "src/agent/",
  "src/common/",
  "src/cli/",
  "src/consensus/",
  "src/control/",
  "src/controlState/",
  "src/daemon/",
  "src/forwarding/",
  "src/ingress/",
  "src/membership/",
  "src/model/",
  "src/node/",
  "src/routing/",
  "src/rpc/",
  "src/runtime/",
  "src/shard/",
  "src/simulation/",
  "src/storage/",
  "src/tools/",
];

const sizeLimits = (severity) => ({
  complexity: [severity, 20],
  "max-lines": [severity, 500],
  "max-lines-per-function": [severity, 100],
});

const untypedValues = (severity) => ({
  "@typescript-eslint/no-explicit-any": severity,
  "@typescript-eslint/no-unsafe-argument": severity,
  "@typescript-eslint/no-unsafe-assignment": severity,
  "@typescript-eslint/no-unsafe-call": severity,
  "@typescript-eslint/no-unsafe-member-access": severity,
  "@typescript-eslint/no-unsafe-return": severity,
});

/** A leading underscore marks a name that is there for its position only. */
const unusedNames = { argsIgnorePattern: "^_", varsIgnorePattern: "^_" };

const strict = (extension) => strictFolders.map((folder) => `${folder}**/*.${extension}`);

export default defineConfig(
  { ignores: ["dist/", "target/", "node_modules/", "journal/"] },
  { linterOptions: { reportUnusedDisableDirectives: "error" } },
  js.configs.recommended,
  // A task is a generator also where it never waits.
  { rules: { "require-yield": "off" } },
  // Warnings are counted by folder and may only become fewer: lint-budget.json, scripts/lintBudget.js.
  { rules: sizeLimits("warn") },
  {
    files: ["**/*.js", "**/*.cjs"],
    languageOptions: { sourceType: "commonjs", globals: globals.node },
  },
  {
    files: ["**/*.js", "**/*.cjs", "**/*.mjs"],
    rules: { "no-unused-vars": ["error", unusedNames] },
  },
  {
    files: ["**/*.ts"],
    extends: [tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { project: "./tsconfig.json", tsconfigRootDir: import.meta.dirname } },
    rules: {
      // A nested task needs its object under a name.
      "@typescript-eslint/no-this-alias": "off",
      "@typescript-eslint/no-unused-vars": ["error", unusedNames],
      "@typescript-eslint/no-base-to-string": "off",
      "@typescript-eslint/unbound-method": "off",
      // The packages without types of their own are loaded so, each in the one file that knows it.
      "@typescript-eslint/no-require-imports": ["error", { allow: ["^js-csp$", "^restructure$"] }],
      ...untypedValues("warn"),
    },
  },
  { files: strict("js"), rules: sizeLimits("error") },
  { files: strict("ts"), rules: { ...sizeLimits("error"), ...untypedValues("error") } },
);
