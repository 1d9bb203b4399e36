import { spawnSync } from "child_process";
import * as fs from "fs";
import * as path from "path";

const root = path.join(__dirname, "../..");
const read = (file: string): string => fs.readFileSync(path.join(root, file), "utf8");
const script = path.join(root, "scripts/checkNode.js");
const { unfit } = jest.requireActual<{ unfit(version: string, searchPath: string): string | undefined }>(script);

/** The settings of the deployment file, by section; a line that is none of comment, section or `key = value` fails. */
function settings(text: string): Map<string, Map<string, string>> {
  const sections = new Map([["", new Map<string, string>()]]);
  let section = sections.get("")!;
  for (const line of text.split("\n").filter((each) => each !== "" && !each.startsWith("#"))) {
    const header = /^\[(.+)\]$/.exec(line);
    const pair = /^([a-z]+) = (.+)$/.exec(line);
    if (header) sections.set(header[1], (section = new Map()));
    else if (pair) section.set(pair[1], pair[2]);
    else throw new Error(`deploy/system.toml: ${line}`);
  }
  return sections;
}
const deployment = settings(read("deploy/system.toml"));

test("the deployment file holds only the keys that the platform knows, and none is missing", () => {
  expect([...deployment.get("")!.keys()].sort()).toEqual(["build", "packages"]);
  const roles = [...deployment.keys()].filter((name) => name !== "");
  expect(roles).toEqual(["roles.ingress", "roles.control", "roles.store"]);
  for (const role of roles) expect([...deployment.get(role)!.keys()]).toEqual(["run", "on", "share", "serves"]);
});

test("each system package is a Debian name whose reason stands in the operators' page", () => {
  const packages = JSON.parse(deployment.get("")!.get("packages")!) as string[];
  expect(packages.length).toBeGreaterThan(0);
  expect(new Set(packages).size).toBe(packages.length);
  for (const name of packages) {
    expect(name).toMatch(/^[a-z0-9][a-z0-9+.-]+$/);
    expect(read("docs/operators/platform.md")).toContain(`| \`${name}\` |`);
  }
});

test("the build checks Node.js first and runs no install script; programs start with the snapshot's own flags", () => {
  const build = JSON.parse(deployment.get("")!.get("build")!) as string;
  expect(build.startsWith("node scripts/checkNode.js && ")).toBe(true);
  expect(build).toMatch(/npm ci .*--omit=dev .*--ignore-scripts/);
  const flags = /--max-old-space-size=\d+ --max-semi-space-size=\d+ --snapshot-blob \S+/.exec(build)![0];
  for (const [name, role] of deployment) if (name !== "") expect(role.get("run")).toContain(`node ${flags} `);
  const configuration = JSON.parse(read("package.json")) as Record<string, Record<string, string>>;
  expect(Object.keys(configuration.dependencies)).toContain("esbuild");
});

test("an unfit Node.js and a missing npm are refused by name", () => {
  const withNpm = path.dirname(process.execPath);
  expect(unfit("v20.20.2", withNpm)).toBeUndefined();
  expect(unfit("v22.1.0", `/none${path.delimiter}${withNpm}`)).toBeUndefined();
  expect(unfit("v18.20.4", withNpm)).toMatch(/Node\.js 20 or later is needed, this is v18\.20\.4/);
  expect(unfit("odd", withNpm)).toMatch(/this is odd/);
  expect(unfit("v20.20.2", "/none")).toMatch(/npm is missing: no folder of PATH \(\/none\)/);
  const run = (searchPath: string): { status: number | null; stderr: string } =>
    spawnSync(process.execPath, [script], { encoding: "utf8", env: { PATH: searchPath } });
  expect(run(withNpm)).toMatchObject({ status: 0, stderr: "" });
  expect(run("/none").status).toBe(1);
  expect(run("/none").stderr).toMatch(/^petrelbeam can't be built here: npm is missing/);
});
