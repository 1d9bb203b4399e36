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

/** The state of an entry and, where there is one, its detail. @example stateOf(entry) // "failed: too few stores" */
export const stateOf = (entry: CalendarEntryBody): string => `${entry.fate}${entry.detail ? `: ${entry.detail}` : ""}`;

function printEntry(entry: CalendarEntryBody): void {
  printLine(`${entry.id}  due ${new Date(entry.due).toISOString()}  ${entry.move.kind}  ${stateOf(entry)}`);
}
/** Enters a planned operation that is due now, under an id made of its kind, its subject and the time. */
function startNow(options: ChangeOptions, kind: string, subject: string, move: Record<string, unknown>): Promise<void> {
  const path = `/v1/calendar/${kind}-${subject}-${Date.now()}`;
  return sendChange(options, { method: "PUT", path, body: { due: "now", move: { kind, ...move } }, version: 0 });
}

/** Commands on the calendar of planned operations, releases among them. @example addCalendarCommands(program); */
export function addCalendarCommands(program: Sade): void {
  nodeCommand(program, "calendar list", "Lists the moves.").action((options: CommandOptions) =>
    readResource<{ entries: CalendarEntryBody[] }>(options, "/v1/calendar", (body) => body.entries.forEach(printEntry)),
  );
  changeCommand(program, "calendar put <id> <file>", "Schedules a move: { due, move }.").action(
    (id: string, file: string, options: ChangeOptions) =>
      sendChange(options, {
        method: "PUT",
        path: `/v1/calendar/${id}`,
        body: readJsonFile(file),
        version: versionOption(options),
      }),
  );
  changeCommand(program, "calendar remove <id>", "Takes a move out that has not started.").action(
    (id: string, options: ChangeOptions) =>
      sendChange(options, { method: "DELETE", path: `/v1/calendar/${id}`, version: versionOption(options) }),
  );
  changeCommand(program, "release <pool> <version>", "Gives new work to a version of a pool.")
    .option("--over", "Milliseconds over which its share grows", 0)
    .action((pool: string, released: string, options: ChangeOptions & { over: string | number }) =>
      startNow(options, "release", pool, { pool, version: String(released), overMs: Number(options.over) }),
    );
  changeCommand(
    program,
    "rollback <pool>",
    "Takes the last release of a pool back: new work goes where it went before.",
  ).action((pool: string, options: ChangeOptions) => startNow(options, "rollback", pool, { pool }));
}
