import { spawnSync } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";

const script = path.join(__dirname, "../../scripts/days.js");
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "days-"));
afterAll(() => fs.rmSync(folder, { recursive: true }));

function writeInputFile(name: string, text: string): string {
  const filePath = path.join(folder, name);
  fs.writeFileSync(filePath, text);
  return filePath;
}
const siteText = `name = "stub"
zones = [
  { name = "north", region = "all" },
  { name = "south", region = "all" },
]
machines = [
  { class = "front", cores = 1, zone = "north", count = 2 },
  { class = "store", cores = 2, zone = "north", count = 1 },
  { class = "core", cores = 1, zone = "south", count = 1 },
]
services = [
  { name = "model", slots = 4 },
]
classes = [
  { name = "question", service = "model" },
]
traffic = [
  { zone = "north", mix = { question = 1.0 }, per_s = 40.0, clients = 5 },
]
[[day]]
traffic = [
  { zone = "south", mix = { question = 1.0 }, per_s = 7.0, clients = 5 },
]
`;
const site = writeInputFile("site.toml", siteText);

function runScript(...args: string[]): { status: number | null; text: string; error: string } {
  const child = spawnSync(process.execPath, [script, ...args], { encoding: "utf8" });
  return { status: child.status, text: child.stdout, error: child.stderr };
}
function generateDay(...args: string[]): string {
  const result = runScript("--site", site, ...args);
  expect([result.status, result.error]).toEqual([0, ""]);
  return result.text;
}
/** Returns the values of every field `name` in the day's entries, as text without quotes. */
function values(text: string, name: string): string[] {
  return [...text.matchAll(new RegExp(`[{,] ${name} = ("[^"]*"|[^,} ]+)`, "g"))].map((match) =>
    match[1].replace(/"/g, ""),
  );
}

test("the same seed always gives the same day, and another seed gives another day", () => {
  const first = generateDay("--seed", "41");
  expect(generateDay("--seed", "41")).toBe(first);
  expect(generateDay("--seed", "42").split("\n").slice(3)).not.toEqual(first.split("\n").slice(3));
});

test("entries of every shape lie within the day and refer only to zones and services of the site", () => {
  const shapes = runScript("--shapes")
    .text.trim()
    .split("\n")
    .map((line) => line.split(" ")[0]);
  expect(shapes.length).toBeGreaterThanOrEqual(12);
  for (const shape of shapes) {
    const text = generateDay("--seed", String(shapes.indexOf(shape)), "--shape", shape);
    expect(text).toMatch(/^name = "[a-z]+-\d+"\nseed = \d+\nlength_s = \d+\.0\n/m);
    expect(text).not.toMatch(/undefined|NaN|how = ""/);
    const length = Number(/^length_s = (.*)$/m.exec(text)?.[1]);
    expect(values(text, "kind").length).toBeGreaterThan(0);
    for (const at of values(text, "at")) expect(Number(at) > 0 && Number(at) < length).toBe(true);
    for (const zone of values(text, "zone")) expect(["north", "south"]).toContain(zone);
    for (const service of values(text, "service")) expect(service).toBe("model");
  }
});

test("a long day has more than 200 configuration changes and a fraction of the deployment's own traffic", () => {
  const text = generateDay("--seed", "3", "--shape", "long");
  const races = [...text.matchAll(/config_race", count = (\d+)/g)].map((match) => Number(match[1]));
  const changes = values(text, "kind").filter((kind) => kind === "config_change").length;
  expect(changes + 2 * races.reduce((sum, count) => sum + count, 0)).toBeGreaterThan(200);
  expect(text).toContain("per_s = 14.0");
});

test("--kinds gives exactly these kinds besides config changes and the closing fault; --listed leaves out other kinds", () => {
  const withKinds = generateDay("--seed", "5", "--kinds", "disk_stall,after_ack_wipe");
  const kinds = new Set(values(withKinds, "kind"));
  kinds.delete("config_change");
  const closing = /^closing = \{ kind = "([a-z_]+)"/m.exec(withKinds)?.[1];
  if (closing !== undefined) kinds.delete(closing);
  expect([...kinds].sort()).toEqual(["after_ack_wipe", "disk_stall"]);

  const listed = writeInputFile(
    "listed",
    "Each entry has a kind.\n\nburst: more traffic\nnode_kill: a machine is killed\n",
  );
  for (const seed of ["1", "2", "3"]) {
    const text = generateDay("--seed", seed, "--shape", "places", "--listed", listed).replace(/^closing.*$/m, "");
    for (const kind of values(text, "kind")) expect(["burst", "node_kill"]).toContain(kind);
  }
});

test("invalid input fails with exit code 2 and a message that names it", () => {
  const errorOf = (...args: string[]): string => {
    const result = runScript(...args);
    expect([result.status, result.text]).toEqual([2, ""]);
    return result.error;
  };
  const validArgs = ["--site", site, "--seed", "1"];
  expect(errorOf(...validArgs, "--sed", "1")).toContain("unknown argument `--sed`");
  expect(errorOf(...validArgs, "stray")).toContain("unknown argument `stray`");
  expect(errorOf("--seed", "1")).toContain("missing argument --site");
  expect(errorOf("--site", site)).toContain("missing argument --seed");
  expect(errorOf(...validArgs, "--out")).toContain("--out has no value");
  expect(errorOf(...validArgs, "--seed", "2")).toContain("--seed is given twice");
  expect(errorOf("--site", site, "--seed", "-4")).toContain("--seed: -4 is not a whole number");
  expect(errorOf(...validArgs, "--shape", "tempest")).toContain("--shape: unknown shape `tempest`");
  expect(errorOf(...validArgs, "--kinds", "burst,flood")).toContain("--kinds: unknown kind `flood`");
  expect(errorOf("--site", path.join(folder, "none"), "--seed", "1")).toContain("--site: ENOENT");
  const noZones = writeInputFile("no-zones.toml", siteText.replace("zones = [", "places = ["));
  expect(errorOf("--site", noZones, "--seed", "1")).toContain("missing field `zones`");
  const noName = writeInputFile("no-name.toml", siteText.replace('{ name = "model"', '{ nme = "model"'));
  expect(errorOf("--site", noName, "--seed", "1")).toMatch(/no-name\.toml:12: missing field `services\.name`/);
  const listed = writeInputFile("listed-unknown", "burst: more\nflood_all: water\n");
  expect(errorOf(...validArgs, "--listed", listed)).toContain("--listed: unknown kind `flood_all`");
});
