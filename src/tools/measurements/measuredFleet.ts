// Functions that the measurements of simulated fleets share.
import * as fs from "fs";
import * as path from "path";
import type { IngressNode } from "../../ingress/ingressNode";
import { SimFleet } from "../../simulation/simFleet";
import { Deployment } from "../deployment";

const DEPLOYMENTS = path.join(__dirname, "../../../../deploy");

/** Reads a deployment plan of the repository; the caller may change the returned copy. */
export function readDeployment(name: string): Deployment {
  return checkedDeployment(JSON.parse(fs.readFileSync(path.join(DEPLOYMENTS, `${name}.json`), "utf8")));
}

/** Validates a deployment plan that was changed. */
export function checkedDeployment(candidate: unknown): Deployment {
  const checked = Deployment.check(candidate);
  if (!checked.ok) throw new Error(JSON.stringify(checked.fault));
  return checked.value;
}

/** Runs the fleet until the condition holds or the time is over; returns the virtual milliseconds that took. */
export async function runUntil(
  fleet: SimFleet,
  withinMs: number,
  stepMs: number,
  isReached: () => boolean,
): Promise<number> {
  const startedAt = fleet.world.now;
  while (!isReached() && fleet.world.now - startedAt < withinMs) await fleet.run(stepMs);
  return fleet.world.now - startedAt;
}

/** Returns whether every ingress has a configuration of at least this version. */
export function isInForce(fleet: SimFleet, version: number): boolean {
  return fleet.names("ingress").every((name) => {
    const ingress = fleet.daemons.get(name) as IngressNode | undefined;
    return (ingress!.snapshot().control?.manifest.version ?? 0) >= version;
  });
}

/** Kills every process of the fleet, so that none keeps running. */
export function killFleet(fleet: SimFleet): void {
  for (const name of [...fleet.world.processes.keys()]) fleet.world.kill(name);
}

/** Returns a copy of the values in ascending order. */
export function ascending(values: number[]): number[] {
  return [...values].sort((left, right) => left - right);
}

/** Returns the median of values in ascending order. */
export function median(sorted: number[]): number {
  return sorted[sorted.length >> 1];
}
