import type { Sade } from "sade";
import { LogEvents } from "../common/logEvents";
import { printLine } from "./output";

function printCatalogue(): void {
  printLine(
    "# Log events\n\nWritten by `petrelbeam events`.\n\n| number | level | event | what to do |\n|---|---|---|---|",
  );
  for (const [number, event] of Object.entries(LogEvents))
    printLine(`| PB${number} | ${event.level} | ${event.text} | ${event.operatorAction} |`);
}

/** Adds the command that prints the catalogue of log events as Markdown. */
export function addEventsCommand(program: Sade): void {
  program.command("events").describe("Prints the catalogue of log events as Markdown.").action(printCatalogue);
}
