import type { BodyFraming } from "./bodyFraming";
import type { ConnectionEnd } from "./connectionEnd";

/** How the body of a response ended. */
export type BodyEnd =
  | "complete"
  /** The connection failed before the end of the body. */
  | "reset"
  /** The peer closed the connection in order before the end of the body. */
  | "truncated"
  /** This process closed the connection before the end of the body. */
  | "aborted";

/**
 * Decides whether a body is complete. The end of the connection ends a body without other framing only if the peer closed the
 * connection in order: after an error of the connection the body is incomplete (RFC 9112, section 8).
 *
 * @param sawMessageEnd whether the parser has reported the end of the message, which it also does when a connection fails
 * @param connectionEnd how the peer ended the connection; undefined if it did not
 */
export function bodyEnd(
  framing: BodyFraming,
  sawMessageEnd: boolean,
  connectionEnd: ConnectionEnd | undefined,
): BodyEnd {
  const isComplete = framing === "connection" ? connectionEnd === "closed" : sawMessageEnd;
  if (isComplete) return "complete";
  if (connectionEnd === undefined) return "aborted";
  return connectionEnd === "reset" ? "reset" : "truncated";
}
