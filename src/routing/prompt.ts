/** Parses the prompts that callers declare, and derives the prefixes that endpoints may have cached. */
import { Constants } from "../common/constants";

/** One part of a prompt, as declared by the caller. */
export interface PromptPart {
  /** Equal ids mean equal text, so that an endpoint's prefix cache may hold it. */
  id: string;
  tokens: number;
}

/** A prompt, as declared by the caller. */
export interface Prompt {
  /** In the order in which they occur in the text. */
  parts: PromptPart[];
  /** The number of tokens of all parts. */
  tokens: number;
}

/** Parses "ID:TOKENS"; returns no part if the text is malformed. */
function parsePart(text: string): PromptPart[] {
  const colon = text.lastIndexOf(":");
  const tokens = Number(text.slice(colon + 1));
  const valid = colon > 0 && Number.isFinite(tokens) && tokens >= 0;
  return valid ? [{ id: text.slice(0, colon).trim(), tokens }] : [];
}

/**
 * Parses the parts of a prompt from a header; ignores malformed parts.
 *
 * @example
 * parsePrompt("5c1e:800,91bd:410").tokens // 1210
 */
export function parsePrompt(text: string): Prompt {
  const parts = text.split(",").slice(0, Constants.promptPartsMax).flatMap(parsePart);
  return { parts, tokens: parts.reduce((sum, part) => sum + part.tokens, 0) };
}

/**
 * Estimates how long an endpoint takes to prefill a number of tokens, in ms.
 *
 * @example
 * prefillMs(1000) // 10
 */
export const prefillMs = (tokens: number): number => tokens / Constants.promptTokensPerMs;

/**
 * Returns the id of the prefix for which prefix affinity selects an endpoint; "" if affinity does not pay off. The last
 * part of a prompt is unique to the request, so the prefix ends before it. If the prefill of a prefix is short compared with
 * the latency target, affinity costs more than it saves: it concentrates load on one endpoint, since the senders do not
 * see each other's requests.
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
