import sade from "sade";
import { DaemonCommand } from "./daemonCommand";
import { addFleetCommand } from "./fleetCommand";
import { addLoadgenCommand } from "./loadgenCommand";
import { ModelCommand } from "./modelCommand";
import { addOperatorCommands } from "./operatorCommands";
import { addQueryCommand } from "./queryCommand";
import { ScaleCommand } from "./scaleCommand";
import { SimCommand } from "./simCommand";

/**
 * The command line of the one executable.
 *
 * @example
 * Cli.run(["node", "petrelbeam", "store", "--settings", "store.json"]);
 */
export const Cli = {
  run(argv: string[]): void {
    const program = sade("petrelbeam");
    program.version("0.1.0").describe("A serving tier with a batch interface: calendar, policies, ledger.");
    DaemonCommand.add(program);
    addOperatorCommands(program);
    addFleetCommand(program);
    addLoadgenCommand(program);
    SimCommand.add(program);
    ModelCommand.add(program);
    ScaleCommand.add(program);
    addQueryCommand(program);
    const fail = (text: string): never => {
      process.stderr.write(`${text}\n`);
      process.exit(2);
    };
    const parsed = program.parse(argv, { lazy: true, unknown: (flag: string) => fail(`unknown flag ${flag}`) }) as
      { handler: (...args: unknown[]) => unknown; args: unknown[] } | undefined;
    if (!parsed) return;
    Promise.resolve(parsed.handler(...parsed.args)).catch((error: Error) => {
      process.stderr.write(`${error.stack ?? error}\n`);
      process.exit(1);
    });
  },
};
