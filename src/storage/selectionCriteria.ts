/** Criteria by which the endpoint of a live request or of a batch item is selected. */
import { Route } from "../controlState/configuration";
import { ClusterSnapshot, Endpoint } from "../node/clusterSnapshot";
import { EndpointEligibility } from "../routing/endpointEligibility";
import { SelectionCriteria } from "../routing/selectionCriteria";

/** The kind of work that policies match batch items as. */
export const ITEM_KIND = "item";

/** A live request's route and its other properties that endpoint selection depends on. */
export interface RoutedRequest {
  route: Route;
  routeName: string;
  caller: string;
  body: string;
}

/** Criteria of a live request. Streaming requests whose bodies share a prefix prefer the same endpoint. */
export function liveRequestCriteria(
  snapshot: ClusterSnapshot,
  request: RoutedRequest,
  exclude: Set<string>,
): SelectionCriteria {
  const { route, routeName, caller, body } = request;
  const prefix = route.kind === "stream" ? body.slice(0, route.prefixBytes) : "";
  return {
    snapshot,
    pool: route.pool,
    route: routeName,
    caller,
    kind: route.kind,
    prefix,
    trafficClass: "live",
    exclude,
  };
}

/** Criteria of a batch item that runs under a claim. */
export const itemCriteria = (snapshot: ClusterSnapshot, route: Route, routeName: string): SelectionCriteria => ({
  snapshot,
  pool: route.pool,
  route: routeName,
  caller: "",
  kind: ITEM_KIND,
  prefix: "",
  trafficClass: "batch",
  exclude: new Set<string>(),
});

/** Whether the endpoint is still announced, is not drained, and is allowed by the policies. */
export const isStillEligible = (endpoint: Endpoint, criteria: SelectionCriteria): boolean =>
  EndpointEligibility.inPool(criteria).some((eligible) => eligible.key === endpoint.key);
