import { Route } from "../../controlState/configuration";
import { ClusterSnapshot } from "../../node/clusterSnapshot";
import { BatchJob } from "../../shard/shardTypes";

/** The route of a job, as far as this node's configuration tells. */
export type JobRoute =
  | { readonly tag: "configured"; readonly route: Route }
  /** The route has been removed since the job was accepted. */
  | { readonly tag: "removed" }
  /** The configuration is older than the one under which the job was accepted, or may be outdated. */
  | { readonly tag: "unknown" };

/**
 * Returns the route of a job as it is configured now. An older configuration than the one under which the job was accepted
 * tells nothing about its route: an item that ran by it could reach a pool that the route no longer names.
 */
export function routeOf(snapshot: ClusterSnapshot, job: BatchJob): JobRoute {
  const configuration = snapshot.control?.manifest;
  if (!configuration || configuration.version < (job.since ?? 0)) return { tag: "unknown" };
  const route = configuration.doc.bindings[job.binding];
  if (route) return { tag: "configured", route };
  return snapshot.isCurrent ? { tag: "removed" } : { tag: "unknown" };
}
