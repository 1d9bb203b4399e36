import type { Endpoint } from "../src/node/clusterSnapshot";

/**
 * Returns an endpoint in the pool "model" that is warm, idle and has a capacity of twelve.
 *
 * @example
 * modelEndpoint(3).id // "r3"
 */
export const modelEndpoint = (index: number): Endpoint => ({
  key: `replica/r${index}/i${index}`,
  id: `r${index}`,
  instance: `i${index}`,
  address: `10.0.1.${index}:80`,
  pool: "model",
  district: "north",
  version: "v1",
  capacity: 12,
  active: 0,
  waiting: 0,
  bornAt: 0,
  warmAt: 0,
});
