/**
 * How a client matches a response to its request. HTTP/1.1 matches them by their order on a connection (RFC 9112, section 9.2),
 * which a response that nobody asked for shifts.
 */
export interface RequestCorrelation {
  /** The id of the request. */
  id: string;
  /** The lower-case name of the response header that repeats the id. */
  header: string;
}

/** Whether a response with these headers is the one to the request. */
export function isResponseTo(
  { id, header }: RequestCorrelation,
  headers: Record<string, string | string[] | undefined>,
): boolean {
  return headers[header] === id;
}

/** The fault of a request in whose place another one was answered. */
export const OTHER_REQUEST_ANSWERED = { step: "check reply", detail: "the reply is another request's" };
