import type { Sade } from "sade";
import { addEventsCommand } from "./eventsCommand";
import { addCalendarCommands } from "./operator/calendarCommands";
import { addDocumentCommands } from "./operator/documentCommands";
import { addInspectionCommands } from "./operator/inspectionCommands";
import { addMaintenanceCommands } from "./operator/maintenanceCommands";

/** Operators' commands; each talks to any node. @example addOperatorCommands(program); */
export function addOperatorCommands(program: Sade): void {
  addDocumentCommands(program);
  addCalendarCommands(program);
  addMaintenanceCommands(program);
  addInspectionCommands(program);
  addEventsCommand(program);
}
