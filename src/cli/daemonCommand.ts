import * as fs from "fs";
import type { Sade } from "sade";
import { Daemon } from "../daemon/daemon";
import { Fault, Result } from "../common/fault";
import { Logger } from "../common/logger";
import { Settings } from "../common/settings";
import { Csp, Scope } from "../runtime/csp";
import { NodeEnv } from "../runtime/nodeEnv";

const flags: [string, string][] = [
  ["cluster", "Name of the cluster"],
  ["district", "District of this machine"],
  ["address", "IP:port between the processes (TCP and UDP)"],
  ["bind", "IP:port to listen on, if not that address"],
  ["http", "IP:port for callers and operators"],
  ["seeds", "Three seed addresses, with commas"],
  ["data", "Data folder (store, control)"],
  ["agent", "Address of the agent beside (ingress)"],
  ["founders", "Addresses of all founders, with commas (control)"],
  ["log", "debug, info, warn or error"],
];
function read(program: string, options: Record<string, unknown>): Result<Settings> {
  let settings: Record<string, unknown> = {};
  if (options.settings) {
    try {
      settings = JSON.parse(fs.readFileSync(String(options.settings), "utf8"));
    } catch (error) {
      return {
        ok: false,
        fault: {
          tag: "invalid",
          step: "read settings",
          member: String(options.settings),
          detail: (error as Error).message,
          paths: [],
        },
      };
    }
  }
  for (const [flag] of flags) {
    const given = options[flag];
    if (given === undefined) continue;
    settings[flag] =
      flag === "seeds" || flag === "founders"
        ? String(given)
            .split(",")
            .filter((part) => part !== "")
        : given;
  }
  if (settings.program !== undefined && settings.program !== program && program !== "check")
    return {
      ok: false,
      fault: {
        tag: "invalid",
        step: "check settings",
        member: String(options.settings),
        detail: "settings are wrong",
        paths: [`program: expected ${program}, found ${String(settings.program)}`],
      },
    };
  return Settings.check(program === "check" ? settings : { ...settings, program });
}
function complain(fault: Fault): void {
  process.stderr.write(`${fault.step} (${fault.member}): ${fault.detail}\n`);
  if (fault.tag === "invalid") for (const path of fault.paths ?? []) process.stderr.write(`  ${path}\n`);
}

/**
 * The daemons' commands: start, and stop on SIGTERM.
 *
 * @example
 * DaemonCommand.add(program);
 */
export const DaemonCommand = {
  add(program: Sade): void {
    const about = {
      ingress: "takes in callers' requests",
      agent: "keeps the link to the fleet beside an ingress",
      store: "keeps shards and runs their work",
      control: "keeps manifest, policies, calendar and views",
    };
    for (const name of Object.keys(about) as (keyof typeof about)[]) {
      let command = program
        .command(name)
        .describe(`Starts the ${name}: ${about[name]}.`)
        .option("-s, --settings", "Settings file (JSON)");
      for (const [flag, help] of flags) command = command.option(`--${flag}`, help);
      command
        .example(`${name} --settings ${name}.json`)
        .action((options: Record<string, unknown>) => DaemonCommand.start(name, options));
    }
    program
      .command("check <file>")
      .describe("Checks a settings file without starting anything.")
      .action((file: string) => {
        const settings = read("check", { settings: file });
        if (!settings.ok) {
          complain(settings.fault);
          process.exit(2);
        }
        process.stdout.write(`${file}: ${settings.value.program} of ${settings.value.cluster} is well\n`);
      });
  },
  start(name: string, options: Record<string, unknown>): void {
    const settings = read(name, options);
    if (!settings.ok) {
      complain(settings.fault);
      process.exit(2);
    }
    const log = Logger.make(`${name}@${settings.value.address}`, settings.value.log ?? "info");
    const scope = new Scope(name, (task, error) => log(1004, { task, error: String((error as Error).stack ?? error) }));
    const env = NodeEnv.make(name, scope, log);
    Csp.go(scope, "main", function* () {
      const started = yield* Daemon.start(env, settings.value);
      if (!started.ok) {
        complain(started.fault);
        process.exit(started.fault.tag === "invalid" ? 2 : 1);
      }
      let stopping = false;
      const stop = (): void => {
        if (stopping) return;
        stopping = true;
        Csp.go(scope, "stop", function* () {
          yield* started.value.stop();
          scope.stop();
          process.exit(0);
        });
      };
      process.on("SIGTERM", stop);
      process.on("SIGINT", stop);
    });
  },
};
