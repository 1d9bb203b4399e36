import type { Sade } from "sade";
import { printError, printLine } from "../output";
import {
  ChangeOptions,
  CommandOptions,
  changeCommand,
  ExitCode,
  nodeCommand,
  readResource,
  printProblem,
  sendChange,
  runWithNode,
} from "./commandRunner";
import { formatState } from "./calendarCommands";
import { sendRequest } from "./operatorClient";
import { CalendarEntryBody } from "./responses";

interface RecoveryOptions extends CommandOptions {
  "accept-loss"?: boolean;
  by?: string;
}

/** Adds the command for an order, which has a subject and no version. Orders are idempotent. */
function addOrderCommand(
  program: Sade,
  usage: string,
  help: string,
  method: string,
  pathOf: (subject: string) => string,
): void {
  changeCommand(program, usage, help).action((subject: string, options: ChangeOptions) =>
    sendChange(options, { method, path: pathOf(encodeURIComponent(subject)), version: 0 }),
  );
}
function rejectUnconfirmedRecovery(group: string, voter: string): void {
  printError(
    `Recovery of ${group} would discard the changes that only the lost voters had acknowledged; these voters must not return as voters.\nRecovery is rejected while a majority of voters is alive. Use --accept-loss to continue from ${voter}.`,
  );
  process.exitCode = ExitCode.usage;
}
async function recover(group: string, voter: string, options: RecoveryOptions): Promise<void> {
  if (!options["accept-loss"]) return rejectUnconfirmedRecovery(group, voter);
  await runWithNode(async () => {
    const headers = options.by ? { "x-operator": String(options.by) } : undefined;
    const body = { group, voter, acceptLoss: true };
    const response = await sendRequest(options.node, "POST", "/v1/control/recover", body, headers);
    if (response.status === 200) {
      const recovered = response.body as { group: string; upTo: number };
      const text = `group ${recovered.group} goes on after index ${recovered.upTo}`;
      printLine(options.json ? JSON.stringify(recovered) : text);
    }
    printProblem(response);
  });
}

/** Adds the commands that drain zones, retire storage nodes and recover the control group. */
export function addMaintenanceCommands(program: Sade): void {
  const drainOf = (zone: string): string => `/v1/districts/${zone}/drain`;
  const retirementOf = (store: string): string => `/v1/stores/${store}/retirement`;
  addOrderCommand(
    program,
    "drain <district>",
    "Drains a district (zone); in force once it is acknowledged.",
    "POST",
    drainOf,
  );
  addOrderCommand(program, "undrain <district>", "Ends the drain of a district (zone).", "DELETE", drainOf);
  addOrderCommand(
    program,
    "retire <store>",
    "Moves the replicas off a store, so that it can be removed; takes its id or its machine's name.",
    "POST",
    retirementOf,
  );
  nodeCommand(program, "retirement <store>", "Prints the state of a store's retirement.").action(
    (store: string, options: CommandOptions) =>
      readResource<CalendarEntryBody>(options, retirementOf(encodeURIComponent(store)), (body) =>
        printLine(`${body.id}  ${formatState(body)}`),
      ),
  );
  nodeCommand(
    program,
    "recover <group> <voter>",
    "Recovers the control group from its one remaining voter, after the others lost their disks.",
  )
    .option("--accept-loss", "Discard the changes that only the lost voters had acknowledged")
    .option("--by", "Name of the operator, for the ledger")
    .action((group: string, voter: string, options: RecoveryOptions) => recover(group, voter, options));
}
