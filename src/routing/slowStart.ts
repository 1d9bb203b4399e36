import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Endpoint } from "../node/clusterSnapshot";
import { Environment } from "../runtime/env";
import { EndpointStates } from "./endpointStates";

/** Lower bound of a sender's warm-up rate in requests per second, so that the interval stays finite. */
const MIN_WARM_UP_RATE = 1e-6;
/** The longest time between two warm-up requests of one sender to an endpoint. */
const MAX_WARM_UP_INTERVAL_MS = 1000;

/**
 * Limits the rate at which new endpoints get requests. An endpoint that announces when its warm-up ends gets requests at the
 * pool's warm-up rate until then; the weight of any other endpoint rises with its age.
 */
export class SlowStart {
  private readonly startedAt: number;
  constructor(
    private readonly env: Environment,
    private readonly senderId: string,
    private readonly states: EndpointStates,
  ) {
    this.startedAt = env.monotonicMs();
  }

  /** Returns the share of an endpoint's capacity that may be used, from Constants.slowStartFloor to 1. */
  weight(endpoint: Endpoint): number {
    if (endpoint.warmAt !== undefined) return 1;
    const age = this.env.wallClockMs() - endpoint.bornAt;
    return Math.min(1, Math.max(Constants.slowStartFloor, age / Constants.slowStartMs));
  }

  /** Whether the endpoint may still be warming up by its announcement; without a trusted clock the end cannot be told. */
  isWarmingUp(endpoint: Endpoint, clockTrusted: boolean): boolean {
    if (!endpoint.warmAt) return false;
    return !clockTrusted || endpoint.warmAt + Constants.warmUpMarginMs > this.env.wallClockMs();
  }

  /** Whether this node may send the endpoint a warm-up request now; `perSecond` is the pool's rate for all senders. */
  allowsWarmUpRequest(
    endpoint: Endpoint,
    perSecond: number,
    senderIds: string[],
    clockTrusted: boolean,
    now: number,
  ): boolean {
    if (perSecond <= 0 || !this.isWarmingUp(endpoint, clockTrusted)) return true;
    // A sender that has just started does not know yet how many others share the rate.
    if (now - this.startedAt < Constants.senderDiscoveryMs) return false;
    const share = perSecond / Math.max(1, senderIds.length);
    const intervalMs = Math.max(Constants.warmUpIntervalMs, 1000 / Math.max(share, MIN_WARM_UP_RATE));
    // If the share is below one request per second, only as many senders send warm-up requests as the rate allows.
    const participates =
      share >= 1 || Hash.rendezvous(endpoint.key, senderIds).indexOf(this.senderId) < Math.floor(perSecond);
    if (!participates) return false;
    return now - this.states.getOrCreate(endpoint).lastWarmUpStartAt >= Math.min(intervalMs, MAX_WARM_UP_INTERVAL_MS);
  }

  /** Whether slow start allows another request to the endpoint now; all senders together limit its rate. */
  allowsRequest(endpoint: Endpoint, senderCount: number, now: number): boolean {
    const weight = this.weight(endpoint);
    if (weight >= 1) return true;
    const intervalMs = (1000 * senderCount) / (endpoint.capacity * weight * Constants.slowStartPerSecond);
    return now - this.states.getOrCreate(endpoint).lastStartAt >= intervalMs;
  }
}
