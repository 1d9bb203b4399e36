import { HeaderNames } from "../../forwarding/headerNames";
import { Constants } from "../../common/constants";
import { Route } from "../../controlState/configuration";
import { ClusterSnapshot, Endpoint } from "../../node/clusterSnapshot";
import { EndpointEligibility } from "../../routing/endpointEligibility";
import { EndpointSelector } from "../../routing/endpointSelector";
import { Environment } from "../../runtime/env";
import { BatchJob } from "../../shard/shardTypes";
import { ITEM_KIND } from "../selectionCriteria";
import { EndpointUsage } from "./endpointUsage";

/** One pass over all items that wait, on one view of the cluster. */
export interface SchedulingPass {
  snapshot: ClusterSnapshot;
  /** This node's share of the capacity for batch items, from 0 to 1. */
  share: number;
  /** Eligible endpoints by pool and route. */
  endpoints: Map<string, Endpoint[]>;
  /** Pools in which no item can start any more. */
  fullPools: Set<string>;
}

/**
 * Chooses the endpoint of a batch item: within this node's window, evenly over the endpoints, in this node's zone as
 * long as there is capacity, and where a long shared prefix of the prompt may be cached.
 *
 * @example
 * const pool = choice.poolOf(route);
 * if (choice.hasCapacity(pass, pool, job.binding, false)) choice.choose(pass, pool, job, 3, false, undefined);
 */
export class ItemEndpointChoice {
  constructor(
    private readonly env: Environment,
    private readonly zone: string,
    private readonly endpointSelector: EndpointSelector,
    private readonly usage: EndpointUsage,
    private readonly names: HeaderNames,
  ) {}

  /** The pool of the next item, drawn by weight where the route splits its traffic. */
  poolOf(route: Route): string {
    if (!route.split || route.split.length === 0) return route.pool;
    let drawn = this.env.random() * route.split.reduce((sum, { weight }) => sum + weight, 0);
    return route.split.find(({ weight }) => (drawn -= weight) < 0)?.pool ?? route.pool;
  }

  /** Whether a further item may start in the pool; if not, the pool is full for the whole pass. */
  hasCapacity(pass: SchedulingPass, pool: string, routeName: string, isUrgent: boolean): boolean {
    if (pass.fullPools.has(pool)) return false;
    if (this.usage.inPool(pool) < this.windowOf(pass, pool, routeName, isUrgent)) return true;
    pass.fullPools.add(pool);
    return false;
  }

  /**
   * An endpoint with capacity; none if there is none.
   * @param avoid key of an endpoint that is chosen only if there is no other
   */
  choose(
    pass: SchedulingPass,
    pool: string,
    job: BatchJob,
    item: number,
    isUrgent: boolean,
    avoid: string | undefined,
  ): Endpoint | undefined {
    const endpoints = this.endpointsOf(pass, pool, job.binding);
    const window = this.windowOf(pass, pool, job.binding, isUrgent);
    const mostAtOne = Math.ceil((window / Math.max(1, endpoints.length)) * Constants.boundedLoadFactor) + 1;
    const loaded = endpoints.filter((endpoint) => this.usage.at(endpoint) >= mostAtOne);
    const exclude = new Set(loaded.map(({ key }) => key));
    if (avoid && endpoints.some(({ key }) => key !== avoid && !exclude.has(key))) exclude.add(avoid);
    const criteria = {
      snapshot: pass.snapshot,
      pool,
      route: job.binding,
      caller: "",
      kind: ITEM_KIND,
      prefix: this.prefixOf(job, item),
      trafficClass: "batch" as const,
    };
    const inZone = this.excludingOtherZones(endpoints, exclude);
    return (
      this.endpointSelector.choose({ ...criteria, exclude: inZone }) ??
      this.endpointSelector.choose({ ...criteria, exclude })
    );
  }

  /**
   * How many items this node may run in a pool at once: its share of the capacity for batch items, less while live
   * requests have to wait.
   */
  private windowOf(pass: SchedulingPass, pool: string, routeName: string, isUrgent: boolean): number {
    const endpoints = this.endpointsOf(pass, pool, routeName);
    const capacity = endpoints.reduce((sum, endpoint) => sum + endpoint.capacity, 0);
    const isRestricted = pass.snapshot.overloadedPools[pool] && !isUrgent;
    const batchShare = Constants.itemCapacityShare * (isRestricted ? Constants.itemOverloadedShare : 1);
    return Math.max(Constants.jobWindowMin, Math.ceil(capacity * batchShare * pass.share));
  }

  private endpointsOf(pass: SchedulingPass, pool: string, routeName: string): Endpoint[] {
    const key = `${pool} ${routeName}`;
    const known = pass.endpoints.get(key);
    if (known) return known;
    const { snapshot } = pass;
    const endpoints = EndpointEligibility.inPool({ snapshot, pool, route: routeName, caller: "", kind: ITEM_KIND });
    pass.endpoints.set(key, endpoints);
    return endpoints;
  }

  /** Id of the first part of the prompt, if it is long enough that a cached copy of it is worth a queue; else "". */
  private prefixOf(job: BatchJob, item: number): string {
    const promptParts = job.requests![item].headers[this.names.promptParts] ?? "";
    const [part, tokens] = promptParts.split(",")[0].split(":");
    return Number(tokens) >= Constants.jobAffinityTokens ? part.trim() : "";
  }

  /**
   * What is excluded, and all endpoints of other zones while this node's own has capacity: requests and their results
   * are long, and links between zones are slow.
   */
  private excludingOtherZones(endpoints: Endpoint[], exclude: Set<string>): Set<string> {
    const isSameZone = ({ district }: Endpoint): boolean => district === this.zone;
    const sameZone = endpoints.filter((endpoint) => isSameZone(endpoint) && !exclude.has(endpoint.key));
    const running = sameZone.reduce((sum, endpoint) => sum + this.usage.at(endpoint), 0);
    const capacity = sameZone.reduce((sum, endpoint) => sum + endpoint.capacity, 0) * Constants.itemSameZoneShare;
    if (running >= capacity) return exclude;
    const otherZones = endpoints.filter((endpoint) => !isSameZone(endpoint));
    return new Set([...exclude, ...otherZones.map(({ key }) => key)]);
  }
}
