import type { Sade } from "sade";
import { Fault } from "../common/fault";
import { Logger } from "../common/logger";
import { Settings } from "../common/settings";
import { DaemonProcess } from "../daemon/daemonProcess";
import { printError, printLine, USAGE_EXIT_CODE } from "./output";
import { checkSettingsFile, DaemonOptions, readSettings, settingFlags } from "./settingsOptions";

const START_FAILED_EXIT_CODE = 1;

/** The daemon programs, with what the help of their commands says they do. */
const programSummaries: Readonly<Record<Settings["program"], string>> = {
  ingress: "serves callers' requests",
  agent: "runs cluster membership for an ingress",
  store: "stores shard replicas and runs their requests and batch jobs",
  control: "stores the manifest, policies, calendar and shard views",
};

function printFault(fault: Fault): void {
  printError(`${fault.step} (${fault.member}): ${fault.detail}`);
  if (fault.tag === "invalid") for (const path of fault.paths ?? []) printError(`  ${path}`);
}

function exitWithStartFault(fault: Fault): never {
  printFault(fault);
  process.exit(fault.tag === "invalid" ? USAGE_EXIT_CODE : START_FAILED_EXIT_CODE);
}
function startDaemon(program: string, options: DaemonOptions): void {
  const settings = readSettings(program, options);
  if (!settings.ok) {
    printFault(settings.fault);
    process.exit(USAGE_EXIT_CODE);
  }
  const log = Logger.make(`${program}@${settings.value.address}`, settings.value.log ?? "info");
  DaemonProcess.run({ name: program, settings: settings.value, log, onStartFault: exitWithStartFault });
}
function checkFile(file: string): void {
  const settings = checkSettingsFile(file);
  if (!settings.ok) {
    printFault(settings.fault);
    process.exit(USAGE_EXIT_CODE);
  }
  printLine(`${file}: valid settings of program ${settings.value.program} in cluster ${settings.value.cluster}`);
}

/** Adds a command for each program that starts it as a daemon, and one that checks a settings file. */
export function addDaemonCommands(program: Sade): void {
  for (const [name, summary] of Object.entries(programSummaries)) {
    let command = program
      .command(name)
      .describe(`Starts the ${name}: ${summary}.`)
      .option("-s, --settings", "Settings file (JSON)");
    for (const [flag, help] of settingFlags) command = command.option(`--${flag}`, help);
    command.example(`${name} --settings ${name}.json`).action((options: DaemonOptions) => startDaemon(name, options));
  }
  program.command("check <file>").describe("Checks a settings file without starting anything.").action(checkFile);
}
