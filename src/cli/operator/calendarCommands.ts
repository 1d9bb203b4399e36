import type { Sade } from "sade";
import { readJsonFile } from "../jsonFile";
import { printLine } from "../output";
import {
  ChangeOptions,
  CommandOptions,
  changeCommand,
  nodeCommand,
  readResource,
  sendChange,
  versionOption,
} from "./commandRunner";
import { CalendarEntryBody } from "./responses";

/** Formats an entry's state, with its detail if it has one. @example formatState(entry) // "failed: too few stores" */
export const formatState = (entry: CalendarEntryBody): string =>
  `${entry.fate}${entry.detail ? `: ${entry.detail}` : ""}`;

function printEntry(entry: CalendarEntryBody): void {
  printLine(`${entry.id}  due ${new Date(entry.due).toISOString()}  ${entry.move.kind}  ${formatState(entry)}`);
}
/** Schedules a planned operation that is due now. Its id consists of its kind, its subject and the current time. */
function scheduleNow(
  options: ChangeOptions,
  kind: string,
  subject: string,
  move: Record<string, unknown>,
): Promise<void> {
  const path = `/v1/calendar/${kind}-${subject}-${Date.now()}`;
  return sendChange(options, { method: "PUT", path, body: { due: "now", move: { kind, ...move } }, version: 0 });
}

/** Adds the commands that read and change the calendar of planned operations, including releases. */
export function addCalendarCommands(program: Sade): void {
  nodeCommand(program, "calendar list", "Lists the planned operations.").action((options: CommandOptions) =>
    readResource<{ entries: CalendarEntryBody[] }>(options, "/v1/calendar", (body) => body.entries.forEach(printEntry)),
  );
  changeCommand(
    program,
    "calendar put <id> <file>",
    "Schedules a planned operation; the file holds { due, move }.",
  ).action((id: string, file: string, options: ChangeOptions) =>
    sendChange(options, {
      method: "PUT",
      path: `/v1/calendar/${id}`,
      body: readJsonFile(file),
      version: versionOption(options),
    }),
  );
  changeCommand(program, "calendar remove <id>", "Removes a planned operation that has not started.").action(
    (id: string, options: ChangeOptions) =>
      sendChange(options, { method: "DELETE", path: `/v1/calendar/${id}`, version: versionOption(options) }),
  );
  changeCommand(program, "release <pool> <version>", "Releases a version of a pool: it gets the new requests.")
    .option("--over", "Milliseconds over which the version's share of requests grows", 0)
    .action((pool: string, releasedVersion: string, options: ChangeOptions & { over: string | number }) =>
      scheduleNow(options, "release", pool, { pool, version: String(releasedVersion), overMs: Number(options.over) }),
    );
  changeCommand(
    program,
    "rollback <pool>",
    "Reverts the last release of a pool: new requests go where they went before.",
  ).action((pool: string, options: ChangeOptions) => scheduleNow(options, "rollback", pool, { pool }));
}
