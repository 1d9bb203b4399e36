import type { Sade } from "sade";
import { addFullScaleCommand } from "./fullScaleCommand";
import { addIdleCommand } from "./idleCommand";
import { addLossCommand } from "./lossCommand";
import { addSlopeCommands } from "./slopeCommands";

/** Adds the commands that measure how costs grow with size. docs/CAPACITY.md is derived from their output. */
export function addScaleCommands(program: Sade): void {
  addSlopeCommands(program);
  addLossCommand(program);
  addIdleCommand(program);
  addFullScaleCommand(program);
}
