/** The names of the headers between callers, this system and endpoints; a protocol adapter may use other names. */
export interface HeaderNames {
  /** The id of the request; a response repeats it. */
  requestId: string;
  /** The caller's remaining time limit, in ms. */
  remainingMs: string;
  /** The only endpoint instance that may run the request. */
  targetInstance: string;
  /** The id of the event after which a stream continues. */
  lastEventId: string;
  /** The parts of a prompt in order, as ID:TOKENS separated by commas. */
  promptParts: string;
  /** The number of tokens of the prompt, and the maximum number to generate. */
  tokens: string;
  model: string;
  /** The priority; 0 is served first. */
  priority: string;
  /** Present in a response if the endpoint did not run the request. */
  notExecuted: string;
  /** The endpoint's signature, without which a successful response is not accepted; "" if none is required. */
  endpointSignature: string;
}

/** The header names that are used unless a protocol adapter sets others. */
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
