/** Reads a daemon's settings from a file and from the command line; flags take precedence over the file. */

import * as fs from "fs";
import { Fault, Result } from "../common/fault";
import { Settings } from "../common/settings";

/** Flags that set a setting of the same name, with their help texts. */
export const settingFlags: readonly (readonly [name: string, help: string])[] = [
  ["cluster", "Name of the cluster"],
  ["district", "District (zone) of this machine"],
  ["address", "IP:port at which other processes reach this one (TCP and UDP)"],
  ["bind", "IP:port to listen on, if it differs from that address"],
  ["http", "IP:port of HTTP for callers and operators"],
  ["seeds", "Three seed addresses, separated by commas"],
  ["data", "Data folder (store, control)"],
  ["agent", "Address of the agent on the same machine (ingress)"],
  ["founders", "Addresses of all members that bootstrap the control group, separated by commas (control)"],
  ["log", "Lowest level that is logged: debug, info, warn or error"],
];
const listFlags: readonly string[] = ["seeds", "founders"];

/** Values of a daemon's options by flag; `settings` is the path of the settings file. */
export type DaemonOptions = Record<string, unknown>;

const invalid = (step: string, file: unknown, detail: string, paths: string[]): Result<never> => ({
  ok: false,
  fault: { tag: "invalid", step, member: String(file), detail, paths },
});

function readFile(file: unknown): Result<Record<string, unknown>> {
  if (!file) return Fault.ok({});
  try {
    return Fault.ok(JSON.parse(fs.readFileSync(String(file), "utf8")) as Record<string, unknown>);
  } catch (error) {
    return invalid("read settings", file, (error as Error).message, []);
  }
}
function flagValue(flag: string, value: unknown): unknown {
  if (!listFlags.includes(flag)) return value;
  return String(value)
    .split(",")
    .filter((part) => part !== "");
}

/** Reads and checks a settings file of any program. Faults: "invalid". */
export function checkSettingsFile(file: string): Result<Settings> {
  const settings = readFile(file);
  return settings.ok ? Settings.check(settings.value) : settings;
}
/** Reads a program's settings from its options. Faults: "invalid", with the path of each error. */
export function readSettings(program: string, options: DaemonOptions): Result<Settings> {
  const file = readFile(options.settings);
  if (!file.ok) return file;
  const settings = file.value;
  for (const [flag] of settingFlags) if (options[flag] !== undefined) settings[flag] = flagValue(flag, options[flag]);
  if (settings.program !== undefined && settings.program !== program) {
    const path = `program: expected ${program}, found ${String(settings.program)}`;
    return invalid("check settings", options.settings, "settings are wrong", [path]);
  }
  return Settings.check({ ...settings, program });
}
