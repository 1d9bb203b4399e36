/**
 * Whether a status promises a caller that its request did not run and never will. An endpoint promises that in a header of
 * its own; such a status without the header is no promise and must not reach a caller.
 *
 * @example
 * promisesNotExecuted(429) // true
 */
export const impliesNotExecuted = (status: number): boolean =>
  status === 408 || status === 421 || status === 429 || status === 503;
