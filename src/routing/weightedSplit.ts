import { Route } from "../controlState/configuration";

/**
 * The pool that a position between 0 and 1 leads to: the route's own, or one of its split in proportion to the weights.
 *
 * @example
 * const pool = weightedPool(route, env.random());
 */
export function weightedPool(route: Route, position: number): string {
  if (!route.split?.length) return route.pool;
  const totalWeight = route.split.reduce((sum, share) => sum + share.weight, 0);
  let remaining = position * totalWeight;
  for (const share of route.split) {
    remaining -= share.weight;
    if (remaining < 0) return share.pool;
  }
  return route.split.filter((share) => share.weight > 0).at(-1)!.pool;
}
