import type { Sade } from "sade";
import { addEventsCommand } from "./eventsCommand";
import { addCalendarCommands } from "./operator/calendarCommands";
import { addDocumentCommands } from "./operator/documentCommands";
import { addInspectionCommands } from "./operator/inspectionCommands";
import { addMaintenanceCommands } from "./operator/maintenanceCommands";

/** Adds the operators' commands, most of which send requests to any one node. */
export function addOperatorCommands(program: Sade): void {
  addDocumentCommands(program);
  addCalendarCommands(program);
  addMaintenanceCommands(program);
  addInspectionCommands(program);
  addEventsCommand(program);
}
