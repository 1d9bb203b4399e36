/** What the headers between callers, us and replicas are called; another shape of the same brings a table of its own. */
export type HeaderNames = {
  requestId: string; // in requests, and given back in replies
  remainingMs: string; // how long the caller will wait
  targetInstance: string; // the only instance that may run the request
  lastEventId: string; // a stream goes on after this piece
  promptParts: string; // the parts of a prompt in order, ID:TOKENS with commas
  tokens: string; // of the prompt, and the most out
  model: string;
  priority: string; // 0 first
  notExecuted: string; // in replies: the replica did not run the request
  endpointSignature: string; // in replies: the replica's own mark, without which a success is none ("" where there is none)
};

/**
 * The product's own names.
 *
 * @example
 * incoming.headers[ownHeaderNames.requestId];
 */
export const ownHeaderNames: HeaderNames = {
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
