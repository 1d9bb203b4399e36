import { Route } from "../controlState/configuration";

/**
 * Returns the pool for a random position from 0 to below 1: the route's own pool, or one of its weighted split, each in
 * proportion to its weight.
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
