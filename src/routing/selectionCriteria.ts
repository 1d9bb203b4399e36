import { ClusterSnapshot } from "../node/clusterSnapshot";

/** Live requests may use the entire capacity of an endpoint; batch items leave a reserved share of it free. */
export type TrafficClass = "live" | "batch";

/** The criteria by which endpoints are eligible for a request. */
export interface PoolCriteria {
  /** The source of the configuration, the policies and the endpoints. */
  snapshot: ClusterSnapshot;
  /** The endpoint pool that the route, or its weighted split, names. */
  pool: string;
  /** The name of the route, which policies match. */
  route: string;
  /** The caller's name, which policies match; empty if it is unknown. */
  caller: string;
  /** The route's kind ("lookup", "stream", "item"), which policies match. */
  kind: string;
}

/** The criteria by which one of the eligible endpoints is selected for a request. */
export interface SelectionCriteria extends PoolCriteria {
  /** Requests with the same prefix prefer the same endpoint; empty for no affinity. */
  prefix: string;
  trafficClass: TrafficClass;
  /** Keys of the endpoints at which this request has already failed. */
  exclude: Set<string>;
}
