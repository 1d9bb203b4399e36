/** Deadlines of a batch job: when its results are due, and when its items are abandoned. */
import { Constants } from "../../common/constants";
import { Route } from "../../controlState/configuration";
import { BatchJob } from "../../shard/shardTypes";

/** Time until all results of a job are due, ms; negative once they are late. */
export const dueInMs = (job: BatchJob, wallNow: number): number =>
  job.stamp.time + (job.kept.completionMs ?? Constants.defaultDeadlineMs) - wallNow;

/**
 * The wall time at which the remaining items of a job are abandoned, ms. The route may have changed since the job was
 * accepted, so the longer of the two limits applies.
 */
export function giveUpAt(job: BatchJob, route: Route): number {
  const afterMs = Math.max(route.giveUpMs ?? Infinity, job.kept.giveUpMs ?? Infinity);
  return job.stamp.time + afterMs + Constants.itemAbandonMarginMs;
}
