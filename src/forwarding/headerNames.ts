/** The names of the headers between callers, this product and endpoints; another protocol brings names of its own. */
export interface HeaderNames {
  /** In requests, and repeated in responses. */
  requestId: string;
  /** How long the caller waits, in ms. */
  remainingMs: string;
  /** The only instance that may run the request. */
  targetInstance: string;
  /** A stream goes on after this event. */
  lastEventId: string;
  /** The parts of a prompt in order, ID:TOKENS separated by commas. */
  promptParts: string;
  /** The tokens of the prompt, and the most to generate. */
  tokens: string;
  model: string;
  /** 0 is served first. */
  priority: string;
  /** In responses: the endpoint did not run the request. */
  notExecuted: string;
  /** In responses: the endpoint's signature, without which no success is accepted; "" for none. */
  endpointSignature: string;
}

/**
 * The product's own names.
 *
 * @example
 * const requestId = exchange.headers[ownHeaderNames.requestId];
 */
export const defaultHeaderNames: HeaderNames = {
  requestId: "x-request-id",
  remainingMs: "x-deadline-ms",
  targetInstance: "x-target-instance",
  lastEventId: "last-event-id",
  promptParts: "x-prompt-parts",
  tokens: "x-tokens",
  model: "x-model",
  priority: "x-order",
  notExecuted: "x-not-run",
  endpointSignature: "",
};
