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

/** State of one scheduling pass over all waiting items, based on one cluster snapshot. */
export interface SchedulingPass {
  snapshot: ClusterSnapshot;
  /** This node's share of the capacity for batch items, from 0 to 1. */
  share: number;
  /** Eligible endpoints by `POOL ROUTE`. */
  endpoints: Map<string, Endpoint[]>;
  /** Pools in which no further item can start. */
  fullPools: Set<string>;
}

/**
 * Chooses the endpoint of a batch item. The items stay within this node's window and are spread evenly over the
 * endpoints. Endpoints in this node's zone are preferred while they have capacity, and so are endpoints that may have
 * cached a long shared prefix of the prompt.
 */
export class ItemEndpointChoice {
  constructor(
    private readonly env: Environment,
    private readonly zone: string,
    private readonly endpointSelector: EndpointSelector,
    private readonly usage: EndpointUsage,
    private readonly names: HeaderNames,
  ) {}

  /** The pool of the next item; drawn at random by weight if the route splits its traffic. */
  poolOf(route: Route): string {
    if (!route.split || route.split.length === 0) return route.pool;
    let remainingWeight = this.env.random() * route.split.reduce((sum, { weight }) => sum + weight, 0);
    return route.split.find(({ weight }) => (remainingWeight -= weight) < 0)?.pool ?? route.pool;
  }

  /** Whether a further item may start in the pool. If not, the pool counts as full for the rest of the pass. */
  hasCapacity(pass: SchedulingPass, pool: string, routeName: string, isUrgent: boolean): boolean {
    if (pass.fullPools.has(pool)) return false;
    if (this.usage.inPool(pool) < this.windowOf(pass, pool, routeName, isUrgent)) return true;
    pass.fullPools.add(pool);
    return false;
  }

  /**
   * Chooses an endpoint; undefined if none has capacity.
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
    const maxPerEndpoint = Math.ceil((window / Math.max(1, endpoints.length)) * Constants.boundedLoadFactor) + 1;
    const fullEndpoints = endpoints.filter((endpoint) => this.usage.at(endpoint) >= maxPerEndpoint);
    const exclude = new Set(fullEndpoints.map(({ key }) => key));
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
    const excludeForZone = this.excludeOtherZones(endpoints, exclude);
    return (
      this.endpointSelector.choose({ ...criteria, exclude: excludeForZone }) ??
      this.endpointSelector.choose({ ...criteria, exclude })
    );
  }

  /**
   * The number of items that this node may run in a pool at once: its share of the capacity for batch items. The window
   * is smaller while live requests wait for the pool, except for items of urgent jobs.
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
    const cached = pass.endpoints.get(key);
    if (cached) return cached;
    const { snapshot } = pass;
    const endpoints = EndpointEligibility.inPool({ snapshot, pool, route: routeName, caller: "", kind: ITEM_KIND });
    pass.endpoints.set(key, endpoints);
    return endpoints;
  }

  /** The id of the prompt's first part if it is long enough to prefer an endpoint that may have cached it; else "". */
  private prefixOf(job: BatchJob, item: number): string {
    const promptParts = job.requests![item].headers[this.names.promptParts] ?? "";
    const [part, tokens] = promptParts.split(",")[0].split(":");
    return Number(tokens) >= Constants.jobAffinityTokens ? part.trim() : "";
  }

  /**
   * Adds all endpoints of other zones to the excluded ones while this node's own zone has capacity. Requests and their
   * results are long, and links between zones are slow.
   */
  private excludeOtherZones(endpoints: Endpoint[], exclude: Set<string>): Set<string> {
    const isSameZone = ({ district }: Endpoint): boolean => district === this.zone;
    const sameZone = endpoints.filter((endpoint) => isSameZone(endpoint) && !exclude.has(endpoint.key));
    const running = sameZone.reduce((sum, endpoint) => sum + this.usage.at(endpoint), 0);
    const capacity = sameZone.reduce((sum, endpoint) => sum + endpoint.capacity, 0) * Constants.itemSameZoneShare;
    if (running >= capacity) return exclude;
    const otherZones = endpoints.filter((endpoint) => !isSameZone(endpoint));
    return new Set([...exclude, ...otherZones.map(({ key }) => key)]);
  }
}
