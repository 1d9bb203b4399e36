/**
 * Whether a status tells a caller that its request did not run and never will. An endpoint guarantees that by a separate
 * header; without the header, such a status is no guarantee and must not reach a caller.
 *
 * @example
 * impliesNotExecuted(429) // true
 */
export const impliesNotExecuted = (status: number): boolean =>
  status === 408 || status === 421 || status === 429 || status === 503;
