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
 * Selects the endpoint that runs a request. Candidates are the eligible endpoints with capacity, without ejected outliers
 * and within their slow start. Among the candidates prefix affinity decides, or else the power of two choices
 * (Mitzenmacher 2001): the less loaded of two picked at random.
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
  /** `self` is this node's id among the senders. */
  constructor(
    private readonly env: Environment,
    self = "",
  ) {
    this.states = new EndpointStates(env);
    this.outlierEjection = new OutlierEjection(env);
    this.slowStart = new SlowStart(env, self, this.states);
    this.prefixAffinity = new PrefixAffinity(env, this.states, this.slowStart);
  }

  /** Requests that went to the endpoint that their prefix prefers. */
  get affinityHits(): number {
    return this.prefixAffinity.hits;
  }

  /** Requests with a prefix that went to another endpoint. */
  get affinityMisses(): number {
    return this.prefixAffinity.misses;
  }

  /** The endpoints that may run the request at all, whatever their load. */
  eligible(criteria: PoolCriteria): Endpoint[] {
    return EndpointEligibility.inRelease(this.env, criteria);
  }

  /** The endpoint to send the request to; undefined when none has capacity. */
  choose(criteria: SelectionCriteria): Endpoint | undefined {
    this.states.sweep(criteria.snapshot.endpoints);
    const eligible = this.eligible(criteria);
    const available = this.available(criteria, eligible);
    if (available.length === 0) return undefined;
    const fresh = available.filter((endpoint) => !endpoint.quiet);
    const candidates = fresh.length > 0 ? fresh : available;
    const preferred = criteria.prefix === "" ? undefined : this.prefixAffinity.select(criteria.prefix, candidates);
    return preferred ?? this.lessLoadedOfTwo(candidates);
  }

  /** The eligible endpoints that can take one more request now. */
  private available(criteria: SelectionCriteria, eligible: Endpoint[]): Endpoint[] {
    const now = this.env.mono();
    const senderIds = RequestSenders.ids(criteria.snapshot);
    const senderCount = Math.max(1, senderIds.length);
    const pool = criteria.snapshot.control?.manifest.doc.pools?.[criteria.pool];
    const warmPerSecond = pool?.warmPerSecond ?? 0;
    const capacityShare = criteria.trafficClass === "batch" ? 1 - Constants.reservedShare : 1;
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

  /** Best estimate of the number of requests at the endpoint now. */
  load(endpoint: Endpoint): number {
    return this.states.load(endpoint);
  }

  /** A request was sent to the endpoint; requestEnded must follow. */
  requestStarted(endpoint: Endpoint): void {
    const state = this.states.getOrCreate(endpoint);
    state.inFlight += 1;
    state.startedSinceAnnouncement += 1;
    state.lastStartAt = this.env.mono();
    if (endpoint.warmAt) state.lastWarmUpStartAt = state.lastStartAt;
  }

  /** A request ended; `decisive` marks a failure that ejects the endpoint at once, see OutlierEjection. */
  requestEnded(endpoint: Endpoint, healthy: boolean, decisive = false): void {
    const state = this.states.find(endpoint);
    if (!state) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    state.startedSinceAnnouncement = Math.max(0, state.startedSinceAnnouncement - 1);
    if (healthy) this.outlierEjection.recordSuccess(state);
    else this.outlierEjection.recordFailure(state, endpoint.key, decisive);
  }
}
