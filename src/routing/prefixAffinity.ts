import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Endpoint } from "../node/clusterSnapshot";
import { Environment } from "../runtime/env";
import { EndpointStates } from "./endpointStates";
import { SlowStart } from "./slowStart";

/**
 * Sends requests with the same prompt prefix to the same endpoint, whose cache holds the prefix. The order of preference
 * comes from rendezvous hashing, and no endpoint gets more than a bounded multiple of the mean load (consistent hashing
 * with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018).
 */
export class PrefixAffinity {
  /** The number of requests that were sent to the endpoint that their prefix prefers. */
  hits = 0;
  /** The number of requests that were sent elsewhere, because the preferred endpoint was too loaded or in slow start. */
  misses = 0;
  constructor(
    private readonly env: Environment,
    private readonly states: EndpointStates,
    private readonly slowStart: SlowStart,
  ) {}

  /** Returns the most preferred candidate below the load bound; if there is none, counts a miss and returns undefined. */
  select(prefix: string, candidates: Endpoint[]): Endpoint | undefined {
    const totalLoad = candidates.reduce((sum, endpoint) => sum + this.states.load(endpoint), 0);
    const loadBound = Math.ceil((totalLoad / candidates.length + 1) * Constants.boundedLoadFactor);
    const byKey = new Map(candidates.map((endpoint) => [endpoint.key, endpoint]));
    const preferred = Hash.rendezvous(prefix, [...byKey.keys()]);
    for (const [rank, key] of preferred.entries()) {
      const endpoint = byKey.get(key)!;
      const accepted = this.states.load(endpoint) < loadBound && this.env.random() < this.slowStart.weight(endpoint);
      if (!accepted) continue;
      if (rank === 0) this.hits += 1;
      else this.misses += 1;
      return endpoint;
    }
    this.misses += 1;
    return undefined;
  }
}
