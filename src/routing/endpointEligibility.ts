import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";
import { PoolCriteria } from "./selectionCriteria";
import { firstMatchingRule } from "./policyRules";

/**
 * Determines which endpoints the configuration and the policies allow for a request, regardless of load and health.
 */
export const EndpointEligibility = {
  /** Returns the announced endpoints of the pool that are outside drained zones and in zones that policies allow. */
  inPool(criteria: PoolCriteria): Endpoint[] {
    const control = criteria.snapshot.control;
    const placement = firstMatchingRule(criteria, control?.policies.doc ?? [], (rule) => !!rule.land)?.land;
    return criteria.snapshot.endpoints.filter(
      (endpoint) =>
        endpoint.pool === criteria.pool &&
        !control?.drained.includes(endpoint.district) &&
        (!placement?.districts || placement.districts.includes(endpoint.district)) &&
        !placement?.avoid?.includes(endpoint.district),
    );
  },

  /**
   * Selects among the endpoints of inPool by version during a release: a gradual release sends a growing share of
   * requests to the new version, and a withdrawn version gets none. A version filter that leaves no endpoint is not applied.
   */
  inRelease(env: Environment, criteria: PoolCriteria): Endpoint[] {
    const release = criteria.snapshot.control?.releases[criteria.pool];
    const announced = EndpointEligibility.inPool(criteria);
    const notWithdrawn = announced.filter(
      (endpoint) => release?.withdrawn === undefined || endpoint.version !== release.withdrawn,
    );
    const candidates = notWithdrawn.length > 0 ? notWithdrawn : announced;
    if (!release || !candidates.some((endpoint) => endpoint.version === release.version)) return candidates;
    const releasedShare =
      release.overMs <= 0 ? 1 : Math.min(1, (env.wallClockMs() - release.startedAt) / release.overMs);
    const useNewVersion = env.random() < releasedShare;
    const chosen = candidates.filter((endpoint) => (endpoint.version === release.version) === useNewVersion);
    return chosen.length > 0 ? chosen : candidates;
  },
};
