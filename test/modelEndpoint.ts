import type { Endpoint } from "../src/node/clusterSnapshot";

/** The endpoint of this number in the pool "model": warm, idle and with a capacity of twelve. @example modelEndpoint(3).id // "r3" */
export const modelEndpoint = (at: number): Endpoint => ({
  key: `replica/r${at}/i${at}`,
  id: `r${at}`,
  instance: `i${at}`,
  address: `10.0.1.${at}:80`,
  pool: "model",
  district: "north",
  version: "v1",
  capacity: 12,
  active: 0,
  waiting: 0,
  bornAt: 0,
  warmAt: 0,
});
