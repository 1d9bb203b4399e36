import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";
import { prefillMs, Prompt } from "./prompt";

/** A sum of tokens that decays exponentially, with the monotonic ms of its last update. */
interface DecayingTokens {
  tokens: number;
  updatedAt: number;
}

/** Endpoints are reserved from this fraction of the busy share on. */
const minBusyShare = Constants.longPromptBusyShare / 20;

/**
 * Reserves a few endpoints of a pool for long prompts, so that their prefill does not delay the decode of other requests.
 * Each sender derives the number of reserved endpoints from the long prompts that it sees itself; rendezvous hashing makes
 * all senders reserve the same endpoints without coordination.
 *
 * @example
 * const isolation = new LongPromptIsolation(env);
 * isolation.record("model", prompt, 300);
 * const preferred = isolation.preferred("model", available, eligible, LongPromptIsolation.isLong(prompt, 300), 8);
 */
export class LongPromptIsolation {
  private readonly prefillByPool = new Map<string, DecayingTokens>();
  constructor(private readonly env: Environment) {}

  /** Whether the prefill takes a large share of the pause between chunks (in ms) that the other streams tolerate. */
  static isLong = (prompt: Prompt, chunkGapMs: number): boolean =>
    prefillMs(prompt.tokens) > chunkGapMs * Constants.longPromptShare;

  /** Counts a prompt towards the rate of long ones, if it is long. */
  record(pool: string, prompt: Prompt, chunkGapMs: number): void {
    if (!LongPromptIsolation.isLong(prompt, chunkGapMs)) return;
    // the largest shared part is in the prefix cache about every second time
    const longestSharedPart = Math.max(0, ...prompt.parts.slice(0, -1).map((part) => part.tokens));
    const uncachedTokens = prompt.tokens - longestSharedPart / 2;
    const now = this.env.mono();
    const prefill = this.prefillByPool.get(pool) ?? { tokens: 0, updatedAt: now };
    prefill.tokens = this.decayed(prefill, now) + uncachedTokens;
    prefill.updatedAt = now;
    this.prefillByPool.set(pool, prefill);
  }

  /** How many of the pool's endpoints are reserved for long prompts; 0 where isolation would not pay. */
  reservedEndpoints(pool: string, endpointCount: number, ingressCount: number): number {
    const prefill = this.prefillByPool.get(pool);
    if (!prefill || endpointCount < Constants.longPromptEndpointsMin) return 0;
    const tokens = this.decayed(prefill, this.env.mono());
    const busyEndpoints = (prefillMs(tokens) * ingressCount) / Constants.longPromptFadeMs;
    if (busyEndpoints < minBusyShare) return 0;
    const reserved = Math.ceil(busyEndpoints / Constants.longPromptBusyShare);
    return reserved > endpointCount / 2 ? 0 : reserved;
  }

  /** The available endpoints for a prompt of this length; all available ones if there are none of those. */
  preferred(
    pool: string,
    available: Endpoint[],
    eligible: Endpoint[],
    isLong: boolean,
    ingressCount: number,
  ): Endpoint[] {
    const reservedCount = this.reservedEndpoints(pool, eligible.length, ingressCount);
    if (reservedCount === 0) return available;
    const keys = eligible.map((endpoint) => endpoint.key);
    const reserved = new Set(Hash.rendezvous(`long ${pool}`, keys).slice(0, reservedCount));
    const matching = available.filter((endpoint) => reserved.has(endpoint.key) === isLong);
    return matching.length > 0 ? matching : available;
  }

  private decayed(sum: DecayingTokens, now: number): number {
    return sum.tokens * Math.exp((sum.updatedAt - now) / Constants.longPromptFadeMs);
  }
}
