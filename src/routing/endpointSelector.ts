import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";
import { EndpointEligibility } from "./endpointEligibility";
import { EndpointStates } from "./endpointStates";
import { OutlierEjection } from "./outlierEjection";
import { PrefixAffinity } from "./prefixAffinity";
import { RequestSenders } from "./requestSenders";
import { PoolCriteria, SelectionCriteria } from "./selectionCriteria";
import { SlowStart } from "./slowStart";

/**
 * Selects the endpoint that runs a request. Candidates are the eligible endpoints that have capacity, are not ejected as
 * outliers and are not limited by slow start. Prefix affinity selects among the candidates; where it selects none, the
 * power of two choices does (Mitzenmacher 2001), which takes the less loaded of two endpoints picked at random.
 *
 * @example
 * const selector = new EndpointSelector(env, "ingress-1");
 * const endpoint = selector.choose(criteria);
 * if (endpoint) selector.requestStarted(endpoint);
 */
export class EndpointSelector {
  private readonly states: EndpointStates;
  private readonly outlierEjection: OutlierEjection;
  private readonly slowStart: SlowStart;
  private readonly prefixAffinity: PrefixAffinity;
  /** `senderId` identifies this node among the nodes that send requests to endpoints. */
  constructor(
    private readonly env: Environment,
    senderId = "",
  ) {
    this.states = new EndpointStates(env);
    this.outlierEjection = new OutlierEjection(env);
    this.slowStart = new SlowStart(env, senderId, this.states);
    this.prefixAffinity = new PrefixAffinity(env, this.states, this.slowStart);
  }

  /** The number of requests that were sent to the endpoint that their prefix prefers. */
  get affinityHits(): number {
    return this.prefixAffinity.hits;
  }

  /** The number of requests with a prefix for which affinity did not select the preferred endpoint. */
  get affinityMisses(): number {
    return this.prefixAffinity.misses;
  }

  /** Returns the endpoints that may run the request, regardless of their load. */
  eligible(criteria: PoolCriteria): Endpoint[] {
    return EndpointEligibility.inRelease(this.env, criteria);
  }

  /** Selects the endpoint to send the request to; returns undefined when none has capacity. */
  choose(criteria: SelectionCriteria): Endpoint | undefined {
    this.states.sweep(criteria.snapshot.endpoints);
    const eligible = this.eligible(criteria);
    const available = this.available(criteria, eligible);
    if (available.length === 0) return undefined;
    const recentlyAnnounced = available.filter((endpoint) => !endpoint.quiet);
    const candidates = recentlyAnnounced.length > 0 ? recentlyAnnounced : available;
    const preferred = criteria.prefix === "" ? undefined : this.prefixAffinity.select(criteria.prefix, candidates);
    return preferred ?? this.lessLoadedOfTwo(candidates);
  }

  /** Returns the eligible endpoints that can accept another request now. */
  private available(criteria: SelectionCriteria, eligible: Endpoint[]): Endpoint[] {
    const now = this.env.monotonicMs();
    const senderIds = RequestSenders.ids(criteria.snapshot);
    const senderCount = Math.max(1, senderIds.length);
    const pool = criteria.snapshot.control?.manifest.doc.pools?.[criteria.pool];
    const warmPerSecond = pool?.warmPerSecond ?? 0;
    const capacityShare = criteria.trafficClass === "batch" ? 1 - Constants.liveReservedShare : 1;
    return eligible.filter((endpoint) => {
      if (criteria.exclude.has(endpoint.key)) return false;
      const state = this.states.getOrCreate(endpoint);
      if (this.outlierEjection.isEjected(state, now)) return false;
      if (!this.slowStart.allowsWarmUpRequest(endpoint, warmPerSecond, senderIds, criteria.snapshot.clockTrusted, now))
        return false;
      if (pool?.connections && state.inFlight >= RequestSenders.connectionShare(pool.connections, senderCount))
        return false;
      if (!this.slowStart.allowsRequest(endpoint, senderCount, now)) return false;
      const limit = Math.max(1, Math.floor(endpoint.capacity * capacityShare * this.slowStart.weight(endpoint)));
      return this.states.load(endpoint) < limit;
    });
  }

  private lessLoadedOfTwo(candidates: Endpoint[]): Endpoint {
    const pick = (): Endpoint => candidates[Math.floor(this.env.random() * candidates.length)];
    const [first, second] = [pick(), pick()];
    return this.relativeLoad(first) <= this.relativeLoad(second) ? first : second;
  }

  private relativeLoad(endpoint: Endpoint): number {
    return (this.states.load(endpoint) + 1) / (endpoint.capacity * this.slowStart.weight(endpoint));
  }

  /** Estimates the number of requests that are at the endpoint now. */
  load(endpoint: Endpoint): number {
    return this.states.load(endpoint);
  }

  /** Records that a request was sent to the endpoint; the caller must call requestEnded when it ends. */
  requestStarted(endpoint: Endpoint): void {
    const state = this.states.getOrCreate(endpoint);
    state.inFlight += 1;
    state.startedSinceAnnouncement += 1;
    state.lastStartAt = this.env.monotonicMs();
    if (endpoint.warmAt) state.lastWarmUpStartAt = state.lastStartAt;
  }

  /** Records that a request ended; a `decisive` failure ejects the endpoint at once, see OutlierEjection. */
  requestEnded(endpoint: Endpoint, healthy: boolean, decisive = false): void {
    const state = this.states.find(endpoint);
    if (!state) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    state.startedSinceAnnouncement = Math.max(0, state.startedSinceAnnouncement - 1);
    if (healthy) this.outlierEjection.recordSuccess(state);
    else this.outlierEjection.recordFailure(state, endpoint.key, decisive);
  }
}
