import sade, { Sade } from "sade";
import { addDaemonCommands } from "./daemonCommands";
import { addFleetCommand } from "./fleetCommand";
import { addLoadgenCommand } from "./loadgenCommand";
import { addModelCommand } from "./modelCommand";
import { addOperatorCommands } from "./operatorCommands";
import { exitWithUsageError, printError } from "./output";
import { addQueryCommand } from "./queryCommand";
import { addScaleCommands } from "./scale/scaleCommands";
import { addSimCommand } from "./simCommand";

/** A command that was parsed but not yet run. */
interface ParsedCommand {
  handler: (...args: unknown[]) => unknown;
  args: unknown[];
}
const FAILED_EXIT_CODE = 1;

function makeProgram(): Sade {
  const program = sade("petrelbeam");
  program.version("0.1.0").describe("A serving tier with a batch interface: calendar, policies, ledger.");
  addDaemonCommands(program);
  addOperatorCommands(program);
  addFleetCommand(program);
  addLoadgenCommand(program);
  addSimCommand(program);
  addModelCommand(program);
  addScaleCommands(program);
  addQueryCommand(program);
  return program;
}

/**
 * Runs the command that the arguments name. Ends the process with exit code 2 if the arguments are wrong, and with 1 if
 * the command throws.
 *
 * @param argv arguments as in `process.argv`
 * @example
 * runCli(["node", "petrelbeam", "store", "--settings", "store.json"]);
 */
export function runCli(argv: string[]): void {
  const parsed = makeProgram().parse(argv, {
    lazy: true,
    unknown: (flag: string) => exitWithUsageError(`unknown flag ${flag}`),
  }) as ParsedCommand | undefined;
  if (!parsed) return;
  Promise.resolve(parsed.handler(...parsed.args)).catch((error: Error) => {
    printError(error.stack ?? String(error));
    process.exit(FAILED_EXIT_CODE);
  });
}
