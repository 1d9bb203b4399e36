import { Bound, Sizes } from "../../tools/scale/sizes";
import { exitWithUsageError } from "../output";

/** Values of a command's options by name. */
export type ScaleOptions = Record<string, unknown>;

/** Bounds for the seed of a simulated run. */
export const seedBound: Bound = { name: "seed", min: 1, max: 1_000_000, reason: "a million seeds are enough" };

/** Reads one integer within its bounds. Ends the process with exit code 2 if the value is anything else. */
export function readInteger(value: unknown, bound: Bound): number {
  const sizes = Sizes.parse(value, bound);
  if (!sizes.ok) exitWithUsageError(sizes.fault.detail);
  if (sizes.value.length !== 1) exitWithUsageError(`${bound.name}: expected one number, found ${sizes.value.length}`);
  return sizes.value[0];
}
