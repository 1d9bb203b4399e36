import { Constants } from "../common/constants";
import { Endpoint } from "../node/clusterSnapshot";

/**
 * The endpoints of a pool that fail clearly more often than the others, by the reports of all senders. What fails
 * everywhere is the load or the service, not an endpoint, and ejects none; nor are more than a share of the pool ejected
 * at once, since the rest has to carry their requests.
 *
 * @example
 * sharedOutliers(eligible, snapshot.reportedFailures ?? {}).has(endpoint.key)
 */
export function sharedOutliers(endpoints: Endpoint[], reported: Record<string, number>): ReadonlySet<string> {
  const countOf = (endpoint: Endpoint): number => reported[endpoint.key] ?? 0;
  const total = endpoints.reduce((sum, endpoint) => sum + countOf(endpoint), 0);
  const mean = total / Math.max(1, endpoints.length);
  const byChance = mean + Constants.outlierDeviations * Math.sqrt(mean);
  const threshold = Math.max(Constants.sharedFailures, mean * Constants.outlierFactor, byChance);
  return new Set(
    endpoints
      .filter((endpoint) => countOf(endpoint) >= threshold)
      .sort((one, other) => countOf(other) - countOf(one))
      .slice(0, Math.floor(endpoints.length * Constants.ejectedShareMax))
      .map((endpoint) => endpoint.key),
  );
}
