import { Constants } from "../common/constants";
import { Hash } from "../common/hash";
import { Endpoint } from "../node/clusterSnapshot";
import { Environment } from "../runtime/env";
import { EndpointStates } from "./endpointStates";

const minWarmUpRate = 1e-6;
const maxWarmUpIntervalMs = 1000;

/**
 * Slow start: a new endpoint gets requests at a limited rate. An endpoint that announces until when it is warming up gets
 * the pool's warm-up rate; for any other one the weight rises with its age.
 *
 * @example
 * const slowStart = new SlowStart(env, "ingress-1", states);
 * const allowed = slowStart.allowsStart(endpoint, senderIds.length, env.mono());
 */
export class SlowStart {
  private readonly startedAt: number;
  constructor(
    private readonly env: Environment,
    private readonly self: string,
    private readonly states: EndpointStates,
  ) {
    this.startedAt = env.mono();
  }

  /** The share of its capacity that an endpoint may use, from the floor to 1. */
  weight(endpoint: Endpoint): number {
    if (endpoint.warmAt !== undefined) return 1;
    const age = this.env.wall() - endpoint.bornAt;
    return Math.min(1, Math.max(Constants.slowStartFloor, age / Constants.slowStartMs));
  }

  /** Whether the endpoint may still be warming up, by its announcement; a clock that is not trusted can't tell the end. */
  isWarmingUp(endpoint: Endpoint, clockTrusted: boolean): boolean {
    if (!endpoint.warmAt) return false;
    return !clockTrusted || endpoint.warmAt + Constants.coldMarginMs > this.env.wall();
  }

  /** Whether this node may send the endpoint one more warm-up request now; perSecond is the pool's rate for all senders. */
  allowsWarmUpRequest(
    endpoint: Endpoint,
    perSecond: number,
    senderIds: string[],
    clockTrusted: boolean,
    now: number,
  ): boolean {
    if (perSecond <= 0 || !this.isWarmingUp(endpoint, clockTrusted)) return true;
    // a sender that has just started doesn't know yet how many others share the rate
    if (now - this.startedAt < Constants.sendersSettleMs) return false;
    const share = perSecond / Math.max(1, senderIds.length);
    const interval = Math.max(Constants.coldIntervalMs, 1000 / Math.max(share, minWarmUpRate));
    // below one request a second each, only as many senders take part as the rate allows
    const takesPart = share >= 1 || Hash.rendezvous(endpoint.key, senderIds).indexOf(this.self) < Math.floor(perSecond);
    if (!takesPart) return false;
    return now - this.states.getOrCreate(endpoint).lastWarmUpStartAt >= Math.min(interval, maxWarmUpIntervalMs);
  }

  /** Whether a young endpoint may get one more request now; all senders together keep its rate small. */
  allowsRequest(endpoint: Endpoint, senderCount: number, now: number): boolean {
    const weight = this.weight(endpoint);
    if (weight >= 1) return true;
    const intervalMs = (1000 * senderCount) / (endpoint.capacity * weight * Constants.slowStartPerSecond);
    return now - this.states.getOrCreate(endpoint).lastStartAt >= intervalMs;
  }
}
