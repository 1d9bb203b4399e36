import { Constants } from "../../common/constants";
import { Result } from "../../common/fault";
import type { Announcement } from "../../node/endpointAnnouncements";
import type { NodeContext } from "../../node/nodeContext";
import { Task } from "../../runtime/csp";
import { HttpExchange } from "../../runtime/env";
import { Http, HttpRoute } from "../http";
import { parseAnnouncement } from "../schemas/announcementSchemas";
import type { OperatorContext } from "./operatorContext";

const BODY_LIMIT_BYTES = 65_536;
const endpointPath = /^\/v1\/replicas\/([A-Za-z0-9._-]{1,80})$/;

/**
 * Reads and publishes an endpoint's announcement. On failure it sends a problem as the response and returns undefined.
 *
 * @example
 * const published = yield* publishAnnouncement(node, exchange, (body) => parseAnnouncement(body));
 */
export function* publishAnnouncement(
  node: NodeContext,
  exchange: HttpExchange,
  parse: (candidate: unknown) => Result<Announcement>,
): Task<object | undefined> {
  const body = yield* Http.readJsonBody(exchange, BODY_LIMIT_BYTES);
  if (!body) return undefined;
  const announcement = parse(body.value);
  if (!announcement.ok) {
    Http.sendProblem(exchange, announcement.fault);
    return undefined;
  }
  const published = yield* node.announce(announcement.value);
  if (published.ok) return published.value;
  Http.sendProblem(exchange, published.fault, published.fault.tag === "conflict" ? 409 : undefined);
  return undefined;
}

function* announce(node: NodeContext, exchange: HttpExchange, id: string): Task<void> {
  const published = yield* publishAnnouncement(node, exchange, (candidate) => {
    const announcement = parseAnnouncement(candidate);
    return announcement.ok ? { ok: true, value: { ...announcement.value, id } } : announcement;
  });
  if (published) Http.sendJson(exchange, 200, { ...published, grantMs: Constants.endpointLeaseMs });
}

function* withdraw(node: NodeContext, exchange: HttpExchange, id: string): Task<void> {
  const withdrawn = yield* node.withdraw(id);
  if (!withdrawn.ok) return Http.sendProblem(exchange, withdrawn.fault);
  Http.sendJson(exchange, 200, { goodbye: id });
}

/**
 * Routes by which endpoints announce and withdraw themselves.
 *
 * @example
 * const routes = announcementRoutes(context);
 */
export const announcementRoutes = ({ node }: OperatorContext): HttpRoute[] => [
  { method: "PUT", path: endpointPath, run: (exchange, [id]) => announce(node, exchange, id) },
  { method: "DELETE", path: endpointPath, run: (exchange, [id]) => withdraw(node, exchange, id) },
];
