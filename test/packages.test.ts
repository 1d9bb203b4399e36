import { spawnSync } from "child_process";
import * as fs from "fs";
import * as path from "path";

const repositoryFolder = path.join(__dirname, "../..");
const readFile = (file: string): string => fs.readFileSync(path.join(repositoryFolder, file), "utf8");
const script = path.join(repositoryFolder, "scripts/checkNode.js");
const { unfit } = jest.requireActual<{ unfit(version: string, searchPath: string): string | undefined }>(script);

/** Parses the deployment file into its sections. Throws on a line that is not a comment, a section or `key = value`. */
function parseSections(text: string): Map<string, Map<string, string>> {
  const sections = new Map([["", new Map<string, string>()]]);
  let section = sections.get("")!;
  for (const line of text.split("\n").filter((content) => content !== "" && !content.startsWith("#"))) {
    const header = /^\[(.+)\]$/.exec(line);
    const pair = /^([a-z]+) = (.+)$/.exec(line);
    if (header) sections.set(header[1], (section = new Map()));
    else if (pair) section.set(pair[1], pair[2]);
    else throw new Error(`deploy/system.toml: ${line}`);
  }
  return sections;
}
const deployment = parseSections(readFile("deploy/system.toml"));

test("the deployment file has exactly the keys that the platform knows", () => {
  expect([...deployment.get("")!.keys()].sort()).toEqual(["build", "packages"]);
  const roles = [...deployment.keys()].filter((name) => name !== "");
  expect(roles).toEqual(["roles.ingress", "roles.control", "roles.store"]);
  for (const role of roles) expect([...deployment.get(role)!.keys()]).toEqual(["run", "on", "share", "serves"]);
});

test("each system package is a valid Debian name and is explained on the operators' page", () => {
  const packages = JSON.parse(deployment.get("")!.get("packages")!) as string[];
  expect(packages.length).toBeGreaterThan(0);
  expect(new Set(packages).size).toBe(packages.length);
  for (const name of packages) {
    expect(name).toMatch(/^[a-z0-9][a-z0-9+.-]+$/);
    expect(readFile("docs/operators/platform.md")).toContain(`| \`${name}\` |`);
  }
});

test("the build checks Node.js first and runs no install scripts; programs run with the flags of the snapshot's build", () => {
  const build = JSON.parse(deployment.get("")!.get("build")!) as string;
  expect(build.startsWith("node scripts/checkNode.js && ")).toBe(true);
  expect(build).toMatch(/npm ci .*--omit=dev .*--ignore-scripts/);
  const flags = /--max-old-space-size=\d+ --max-semi-space-size=\d+ --snapshot-blob \S+/.exec(build)![0];
  for (const [name, role] of deployment) if (name !== "") expect(role.get("run")).toContain(`node ${flags} `);
  const packageJson = JSON.parse(readFile("package.json")) as Record<string, Record<string, string>>;
  expect(Object.keys(packageJson.dependencies)).toContain("esbuild");
});

test("the check names an unsupported version of Node.js and a missing npm", () => {
  const folderWithNpm = path.dirname(process.execPath);
  expect(unfit("v20.20.2", folderWithNpm)).toBeUndefined();
  expect(unfit("v22.1.0", `/none${path.delimiter}${folderWithNpm}`)).toBeUndefined();
  expect(unfit("v18.20.4", folderWithNpm)).toMatch(/Node\.js 20 or later is needed, this is v18\.20\.4/);
  expect(unfit("odd", folderWithNpm)).toMatch(/this is odd/);
  expect(unfit("v20.20.2", "/none")).toMatch(/npm is missing: no folder of PATH \(\/none\)/);
  const run = (searchPath: string): { status: number | null; stderr: string } =>
    spawnSync(process.execPath, [script], { encoding: "utf8", env: { PATH: searchPath } });
  expect(run(folderWithNpm)).toMatchObject({ status: 0, stderr: "" });
  expect(run("/none").status).toBe(1);
  expect(run("/none").stderr).toMatch(/^petrelbeam can't be built here: npm is missing/);
});
