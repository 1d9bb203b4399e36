import { Bound, Sizes } from "../../tools/scale/sizes";
import { exitWithUsageError } from "../output";

/** Values of a command's options, by name. */
export type ScaleOptions = Record<string, unknown>;

/** Seed of a simulated run. */
export const seedBound: Bound = { name: "seed", min: 1, max: 1_000_000, reason: "any other gives another run" };

/** One integer within its bound; ends the process with exit code 2 on anything else. @example readInteger(options.seed, seedBound) */
export function readInteger(value: unknown, bound: Bound): number {
  const sizes = Sizes.parse(value, bound);
  if (!sizes.ok) exitWithUsageError(sizes.fault.detail);
  if (sizes.value.length !== 1) exitWithUsageError(`${bound.name}: one number, not ${sizes.value.length}`);
  return sizes.value[0];
}
