/** How the end of a response body is marked. */
export type BodyFraming =
  /** There is no body. */
  | "none"
  /** The body has the announced length. */
  | "length"
  /** The last chunk ends the body. */
  | "chunked"
  /** The end of the connection ends the body. */
  | "connection";

/** No Content and Not Modified. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns how the body of a final response is framed (RFC 9112, section 6.3). Header names are lower-case.
 *
 * @example
 * bodyFraming("GET", 200, { "content-length": "5" }) // "length"
 */
export function bodyFraming(method: string, status: number, headers: Record<string, string>): BodyFraming {
  if (method === "HEAD" || bodilessStatuses.has(status)) return "none";
  const transferEncoding = headers["transfer-encoding"];
  // A transfer encoding overrides a length; without "chunked" as the last encoding only the connection's end ends the body.
  if (transferEncoding !== undefined) return /(^|,)\s*chunked\s*$/i.test(transferEncoding) ? "chunked" : "connection";
  return headers["content-length"] === undefined ? "connection" : "length";
}
