/** When the results of a batch job are due, and when its items are given up. */
import { Constants } from "../../common/constants";
import { Route } from "../../controlState/configuration";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { BatchJob } from "../../shard/shardTypes";

/** How long until all results of a job are due, ms; negative once they are late. */
export const dueInMs = (job: BatchJob, wallNow: number): number =>
  job.stamp.time + (job.kept.completionMs ?? Constants.defaultDeadlineMs) - wallNow;

/** When the items of a job are given up: wall time, ms. The route may have changed since the job was accepted. */
export function giveUpAt(job: BatchJob, route: Route): number {
  const afterMs = Math.max(route.giveUpMs ?? Infinity, job.kept.giveUpMs ?? Infinity);
  return job.stamp.time + afterMs + Constants.itemAbandonMarginMs;
}

/**
 * The route of a job as it is configured now; as it was when the job was accepted, while this node's configuration is
 * older than that; undefined once the route has been removed.
 */
export function routeOf(snapshot: ClusterSnapshot, job: BatchJob): Route | undefined {
  const configuration = snapshot.control?.manifest;
  const configured = configuration?.doc.bindings[job.binding];
  if (configured) return configured;
  const isOlderThanJob = !configuration || !snapshot.isCurrent || configuration.version < (job.since ?? 0);
  return isOlderThanJob ? job.kept : undefined;
}
