import { Constants } from "../common/constants";
import { Env } from "../runtime/env";
import { Endpoint } from "../node/clusterSnapshot";
import { Hash } from "../common/hash";

/** The parts of a prompt in order, as its caller told them. */
export type Prompt = { parts: { id: string; tokens: number }[]; tokens: number };
type Flow = { tokens: number; at: number };

/**
 * Long prompts keep to a few replicas of a pool, so that reading them does not hold up the pieces of the others.
 * How many, each sender works out from the long prompts that it sees; which, all agree on without a word.
 *
 * @example
 * const lanes = new PromptLanes(env);
 * lanes.saw("model", prompt, gapMs);
 * const preferred = lanes.preferred("model", room, everyone, PromptLanes.isLong(prompt, gapMs), 8);
 */
export class LongPromptIsolation {
  private readonly flows = new Map<string, Flow>();
  constructor(private readonly env: Env) {}

  /** @example PromptLanes.parse("5c1e:800,91bd:410").tokens // 1210 */
  static parse(text: string): Prompt {
    const parts = text
      .split(",")
      .slice(0, Constants.promptPartsMax)
      .flatMap((part) => {
        const cut = part.lastIndexOf(":");
        const tokens = Number(part.slice(cut + 1));
        return cut > 0 && Number.isFinite(tokens) && tokens >= 0 ? [{ id: part.slice(0, cut).trim(), tokens }] : [];
      });
    return { parts, tokens: parts.reduce((sum, part) => sum + part.tokens, 0) };
  }
  /** Whether reading it whole would by itself take a good part of the pause that others bear. @example PromptLanes.isLong(prompt, 300) */
  static isLong = (prompt: Prompt, gapMs: number): boolean =>
    prompt.tokens / Constants.promptTokensPerMs > gapMs * Constants.longPromptShare;

  /** A prompt goes out; the rate of long ones fades over some seconds. @example lanes.saw("model", prompt, 300) */
  saw(pool: string, prompt: Prompt, gapMs: number): void {
    if (!LongPromptIsolation.isLong(prompt, gapMs)) return;
    // its shared part is mostly kept already: what has to be read is the rest
    const unread = prompt.tokens - Math.max(0, ...prompt.parts.slice(0, -1).map((part) => part.tokens)) / 2;
    const now = this.env.mono();
    const flow = this.flows.get(pool) ?? { tokens: 0, at: now };
    flow.tokens = flow.tokens * Math.exp((flow.at - now) / Constants.longPromptFadeMs) + unread;
    flow.at = now;
    this.flows.set(pool, flow);
  }
  /** How many replicas of the pool are the long prompts' own. @example lanes.width("model", 13, 8) // 3 */
  width(pool: string, endpoints: number, ingresses: number): number {
    const flow = this.flows.get(pool);
    if (!flow || endpoints < Constants.longPromptEndpointsMin) return 0;
    const faded = flow.tokens * Math.exp((flow.at - this.env.mono()) / Constants.longPromptFadeMs);
    const readingShare = (faded * ingresses) / Constants.longPromptFadeMs / Constants.promptTokensPerMs;
    if (readingShare < Constants.longPromptBusyShare / 20) return 0;
    const wanted = Math.ceil(readingShare / Constants.longPromptBusyShare);
    return wanted > endpoints / 2 ? 0 : wanted;
  }
  /** Of those with room, the ones that a prompt of this length should go to; all, if there are none. @example lanes.preferred(...) */
  preferred(pool: string, room: Endpoint[], everyone: Endpoint[], long: boolean, ingresses: number): Endpoint[] {
    const width = this.width(pool, everyone.length, ingresses);
    if (width === 0) return room;
    const own = new Set(
      Hash.rendezvous(
        `long ${pool}`,
        everyone.map((endpoint) => endpoint.key),
      ).slice(0, width),
    );
    const kept = room.filter((endpoint) => own.has(endpoint.key) === long);
    return kept.length > 0 ? kept : room;
  }
}
