// Rules for imports, checked by npm run lint: no circles between files, and no import from a lower layer into a higher one.
// Imports of types count as well. Violations from before the rules are in .dependency-cruiser-known-violations.json, a list
// that only shrinks: npm run lint:imports:known takes out what was repaired.

const fs = require("fs");
const path = require("path");

/** The client of a shard's leader, and the messages to shards. They stand in src/storage, and every process and surface uses them. */
const SHARD_CLIENT = "storage/(shardClient\\.ts$|messages/)";

/**
 * The layers of docs/architecture.md from top to bottom. Files of a layer import from their own layer and from those below;
 * each file belongs to exactly one.
 */
const LAYERS = [
  { name: "entry", path: "^(platform/|test/|src/(cli|simulation|model|tools)/|src/main\\.ts$)" },
  { name: "daemon", path: "^src/daemon/" },
  { name: "process", path: `^src/(?!${SHARD_CLIENT})(ingress|agent|storage|control)/` },
  { name: "adapters", path: "^src/adapters/" },
  { name: "forwarding", path: "^src/forwarding/" },
  { name: "routing", path: "^src/routing/" },
  { name: "shard", path: `^src/(shard/|${SHARD_CLIENT})` },
  { name: "consensus", path: "^src/consensus/" },
  { name: "node", path: "^src/node/" },
  { name: "membership", path: "^src/membership/" },
  { name: "controlState", path: "^src/controlState/" },
  { name: "rpc", path: "^src/rpc/" },
  { name: "runtime", path: "^src/runtime/" },
  { name: "common", path: "^src/common/" },
];

/** A folder that belongs to no layer would escape the rules. */
function refuseFoldersWithoutLayer() {
  const folders = fs
    .readdirSync(path.join(__dirname, "src"), { withFileTypes: true })
    .filter((each) => each.isDirectory());
  for (const { name } of folders) {
    const file = `src/${name}/`;
    if (!LAYERS.some((layer) => new RegExp(layer.path).test(file))) {
      throw new Error(`.dependency-cruiser.cjs: ${file} has no place in LAYERS`);
    }
  }
}

refuseFoldersWithoutLayer();

/** For each layer but the highest: its files don't import from any layer above. */
const layerRules = LAYERS.slice(1).map((layer, index) => ({
  name: `${layer.name}-imports-down`,
  comment: `A file of the layer ${layer.name} imports from a layer above it.`,
  severity: "error",
  from: { path: layer.path },
  to: { path: LAYERS.slice(0, index + 1).map((higher) => higher.path) },
}));

module.exports = {
  forbidden: [
    {
      name: "no-circular",
      comment: "Files import each other in a circle.",
      severity: "error",
      from: {},
      to: { circular: true },
    },
    ...layerRules,
  ],
  options: {
    doNotFollow: { path: "node_modules" },
    tsConfig: { fileName: "tsconfig.json" },
    tsPreCompilationDeps: true,
  },
};
