import type { Sade } from "sade";
import { printError, printLine } from "../output";
import {
  ChangeOptions,
  CommandOptions,
  changeCommand,
  ExitCode,
  nodeCommand,
  readResource,
  reportProblem,
  sendChange,
  withNode,
} from "./commandRunner";
import { stateOf } from "./calendarCommands";
import { sendRequest } from "./operatorClient";
import { CalendarEntryBody } from "./responses";

interface RecoveryOptions extends CommandOptions {
  "accept-loss"?: boolean;
  by?: string;
}

/** An order that names its subject and no version: sent again, it is the same order. */
function addOrder(
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
function refuseWithoutConsent(group: string, voter: string): void {
  printError(
    `What only the lost voters of ${group} had acknowledged would be gone, and they may not come back as voters.\nRefused while a majority of voters lives. Say --accept-loss to go on from ${voter}.`,
  );
  process.exitCode = ExitCode.usage;
}
async function recover(group: string, voter: string, options: RecoveryOptions): Promise<void> {
  if (!options["accept-loss"]) return refuseWithoutConsent(group, voter);
  await withNode(async () => {
    const headers = options.by ? { "x-operator": String(options.by) } : undefined;
    const body = { group, voter, acceptLoss: true };
    const response = await sendRequest(options.node, "POST", "/v1/control/recover", body, headers);
    if (response.status === 200) {
      const recovered = response.body as { group: string; upTo: number };
      const text = `group ${recovered.group} goes on after index ${recovered.upTo}`;
      printLine(options.json ? JSON.stringify(recovered) : text);
    }
    reportProblem(response);
  });
}

/** Commands that drain zones, retire stores and recover the control group. @example addMaintenanceCommands(program); */
export function addMaintenanceCommands(program: Sade): void {
  const drainOf = (zone: string): string => `/v1/districts/${zone}/drain`;
  const retirementOf = (store: string): string => `/v1/stores/${store}/retirement`;
  addOrder(program, "drain <district>", "Drains a district: in force once it is acknowledged.", "POST", drainOf);
  addOrder(program, "undrain <district>", "Lets work land in a district again.", "DELETE", drainOf);
  addOrder(
    program,
    "retire <store>",
    "Moves a store's copies off it, so that it can go; by its id or its machine's name.",
    "POST",
    retirementOf,
  );
  nodeCommand(program, "retirement <store>", "How far a store's retirement has come.").action(
    (store: string, options: CommandOptions) =>
      readResource<CalendarEntryBody>(options, retirementOf(encodeURIComponent(store)), (body) =>
        printLine(`${body.id}  ${stateOf(body)}`),
      ),
  );
  nodeCommand(
    program,
    "recover <group> <voter>",
    "Goes on from the one control voter that is left, after the others lost their disks.",
  )
    .option("--accept-loss", "Changes that only the lost voters had acknowledged are given up")
    .option("--by", "Who asks")
    .action((group: string, voter: string, options: RecoveryOptions) => recover(group, voter, options));
}
