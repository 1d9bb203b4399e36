/** Prompts as callers declare them, and what of them endpoints may have cached. */
import { Constants } from "../common/constants";

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

/** Reads "ID:TOKENS"; no part if it is malformed. */
function parsePart(text: string): PromptPart[] {
  const colon = text.lastIndexOf(":");
  const tokens = Number(text.slice(colon + 1));
  const valid = colon > 0 && Number.isFinite(tokens) && tokens >= 0;
  return valid ? [{ id: text.slice(0, colon).trim(), tokens }] : [];
}

/**
 * Reads the parts of a prompt from a header; malformed parts are left out.
 *
 * @example
 * parsePrompt("5c1e:800,91bd:410").tokens // 1210
 */
export function parsePrompt(text: string): Prompt {
  const parts = text.split(",").slice(0, Constants.promptPartsMax).flatMap(parsePart);
  return { parts, tokens: parts.reduce((sum, part) => sum + part.tokens, 0) };
}

/** About how long an endpoint needs to prefill so many tokens, ms. @example prefillMs(1000) // 10 */
export const prefillMs = (tokens: number): number => tokens / Constants.promptTokensPerMs;

/**
 * The prefix by whose id requests are sent to the endpoint that has it cached; "" where that is not worth it. The last part
 * of a prompt belongs to the request alone, so the prefix ends before it. A prefix whose prefill is short against the
 * latency target saves less than the load that affinity concentrates on one endpoint costs: the senders don't see each
 * other's requests.
 * @param targetMs the route's latency target
 *
 * @example
 * affinityPrefix(parsePrompt("5c1e:13000,91bd:410"), 400) // "5c1e"
 */
export function affinityPrefix(prompt: Prompt, targetMs: number): string {
  const shared = prompt.parts.slice(0, -1);
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  return prefillMs(sharedTokens) < targetMs * Constants.affinityTargetShare ? "" : (shared.at(-1)?.id ?? "");
}
