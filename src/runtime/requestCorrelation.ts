/**
 * How a client matches a response to its request. HTTP/1.1 matches them by their order on a connection (RFC 9112, section 9.2),
 * which a response that nobody asked for shifts. The id tells such a response, as long as the connection has not carried the
 * same id before; so the client doesn't send an id twice on one connection.
 */
export interface RequestCorrelation {
  /** The id of the request. */
  id: string;
  /** The lower-case name of the response header that repeats the id. */
  header: string;
  /** Whether the server may leave the header out. Then a response without it is taken for the one to the request. */
  isHeaderOptional?: boolean;
}

/** Whether a response with these headers is the one to the request. */
export function isResponseTo(
  { id, header, isHeaderOptional = false }: RequestCorrelation,
  headers: Record<string, string | string[] | undefined>,
): boolean {
  const repeatedId = headers[header];
  return repeatedId === undefined ? isHeaderOptional : repeatedId === id;
}

/** The fault of a request in whose place another one was answered. */
export const OTHER_REQUEST_ANSWERED = { step: "check reply", detail: "the reply is another request's" };
