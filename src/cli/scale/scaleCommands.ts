import type { Sade } from "sade";
import { addFullScaleCommand } from "./fullScaleCommand";
import { addIdleCommand } from "./idleCommand";
import { addLossCommand } from "./lossCommand";
import { addSlopeCommands } from "./slopeCommands";

/**
 * The commands that measure how costs grow with sizes; docs/CAPACITY.md is worked out from what they print.
 *
 * @example
 * addScaleCommands(program);
 */
export function addScaleCommands(program: Sade): void {
  addSlopeCommands(program);
  addLossCommand(program);
  addIdleCommand(program);
  addFullScaleCommand(program);
}
