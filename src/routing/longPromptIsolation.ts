import { Constants } from "../common/constants";
import { Environment } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";

/** One part of a prompt, as its caller declares it. */
export interface PromptPart {
  /** Equal ids mean equal text, so that an endpoint's prefix cache may hold it. */
  id: string;
  tokens: number;
}
/** A prompt as its caller declares it. */
export interface Prompt {
  /** In the order of the text. */
  parts: PromptPart[];
  /** Tokens of all parts. */
  tokens: number;
}
/** A sum of tokens that decays exponentially, with the monotonic ms of its last update. */
interface DecayingTokens {
  tokens: number;
  updatedAt: number;
}

/** Endpoints are reserved from this fraction of the busy share on. */
const minBusyShare = Constants.longPromptBusyShare / 20;

/** Reads "ID:TOKENS"; no part if it is malformed. */
function parsePart(text: string): PromptPart[] {
  const colon = text.lastIndexOf(":");
  const tokens = Number(text.slice(colon + 1));
  const valid = colon > 0 && Number.isFinite(tokens) && tokens >= 0;
  return valid ? [{ id: text.slice(0, colon).trim(), tokens }] : [];
}

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

  /** Reads the parts of a prompt from a header; malformed parts are left out. @example LongPromptIsolation.parse("5c1e:800,91bd:410").tokens // 1210 */
  static parse(text: string): Prompt {
    const parts = text.split(",").slice(0, Constants.promptPartsMax).flatMap(parsePart);
    return { parts, tokens: parts.reduce((sum, part) => sum + part.tokens, 0) };
  }

  /** Whether the prefill takes a large share of the pause between chunks (in ms) that the other streams tolerate. */
  static isLong = (prompt: Prompt, chunkGapMs: number): boolean =>
    prompt.tokens / Constants.promptTokensPerMs > chunkGapMs * Constants.longPromptShare;

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
    const busyEndpoints = (tokens * ingressCount) / Constants.longPromptFadeMs / Constants.promptTokensPerMs;
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
