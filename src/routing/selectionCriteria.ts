import { ClusterSnapshot } from "../node/clusterSnapshot";

/** Live requests may use an endpoint's whole capacity, batch items leave the reserved share of it free. */
export type TrafficClass = "live" | "batch";

/** What decides which endpoints may run a request at all. */
export interface PoolCriteria {
  /** The configuration, policies and endpoints to decide by. */
  snapshot: ClusterSnapshot;
  /** The endpoint pool that the route, or its weighted split, names. */
  pool: string;
  /** The name of the route, for policies. */
  route: string;
  /** The caller's name, for policies; empty where it is unknown. */
  caller: string;
  /** The route's kind ("lookup", "stream", "item"), for policies. */
  kind: string;
}

/** What decides which of the eligible endpoints runs a request. */
export interface SelectionCriteria extends PoolCriteria {
  /** Requests with the same prefix prefer the same endpoint; empty for no affinity. */
  prefix: string;
  trafficClass: TrafficClass;
  /** Keys of endpoints that this request has already failed at. */
  exclude: Set<string>;
}
