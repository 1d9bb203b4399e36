import { Constants } from "../common/constants";
import { Fault, Result } from "../common/fault";
import { Route } from "../controlState/configuration";
import { DirectHttp, DirectRequest } from "../forwarding/directHttp";
import type { HeaderNames } from "../forwarding/headerNames";
import { affinityPrefix, parsePrompt, Prompt } from "../routing/prompt";
import type { MatchedRoute } from "../routing/routeTable";
import { SelectionCriteria } from "../routing/selectionCriteria";
import { weightedPool } from "../routing/weightedSplit";
import type { ClusterSnapshot } from "../node/clusterSnapshot";
import { Environment, EnvironmentTools, HttpExchange } from "../runtime/env";
import { Cause } from "../shard/shardTypes";

/** Priority in the header for endpoints: 0 is served first, this number last. */
const lowestPriority = 7;
const defaultPriority = 5;

/** A direct request through all its attempts: what the caller sent, and how far the response has come. */
export interface PendingDirectRequest {
  exchange: HttpExchange;
  routeName: string;
  route: Route;
  /** The pool by the route's split. */
  pool: string;
  prompt: Prompt;
  /** What is sent to an endpoint; its lastEventId moves on with the stream. */
  forwarded: DirectRequest;
  /** For the ledger. */
  cause: Cause;
  /** Monotonic ms. */
  arrivedAt: number;
  deadlineAt: number;
  /** Whether the head of the response has been sent to the caller. */
  responseOpen: boolean;
  /** Whether some endpoint may have run it. */
  mayHaveRun: boolean;
}

/** The caller's time limit where it gives one and the route allows it, else the route's, in ms. */
function timeLimitMs(route: Route, header: string | undefined): number {
  const requested = Number(header);
  return Math.min(route.deadlineMs, Number.isFinite(requested) && requested > 0 ? requested : route.deadlineMs);
}

/**
 * Reads a request that a route's host and path lead to. A fault "invalid" if its headers are malformed.
 *
 * @example
 * const pending = readDirectRequest(env, headerNames, exchange, match, body, arrivedAt, configurationVersion);
 */
export function readDirectRequest(
  env: Environment,
  headerNames: HeaderNames,
  exchange: HttpExchange,
  { name: routeName, route }: MatchedRoute,
  body: Buffer,
  arrivedAt: number,
  configurationVersion: number,
): Result<PendingDirectRequest> {
  const { headers } = exchange;
  const leftMs = timeLimitMs(route, headers[headerNames.remainingMs]);
  const lastEventId = headers[headerNames.lastEventId] ?? "0";
  if (!/^\d{1,9}$/.test(lastEventId)) return Fault.fail("invalid", "read last piece", "caller", "not a piece number");
  const forwarded: DirectRequest = {
    method: exchange.method,
    target: exchange.target,
    headers: DirectHttp.endToEnd(headers),
    body,
    id: headers[headerNames.requestId] ?? EnvironmentTools.id(env, "req"),
    remainingMs: leftMs,
    lastEventId: +lastEventId,
    priority: Math.min(lowestPriority, route.order ?? defaultPriority),
  };
  return Fault.ok({
    exchange,
    routeName,
    route,
    pool: weightedPool(route, env.random()),
    prompt: parsePrompt(route.affinity ? (headers[headerNames.promptParts] ?? "") : ""),
    forwarded,
    cause: { manifest: configurationVersion },
    arrivedAt,
    deadlineAt: arrivedAt + leftMs,
    responseOpen: false,
    mayHaveRun: false,
  });
}

/** What decides which endpoint runs the next attempt. */
export function selectionCriteria(
  pending: PendingDirectRequest,
  snapshot: ClusterSnapshot,
  exclude: Set<string>,
): SelectionCriteria {
  const { routeName, route, pool, prompt } = pending;
  return {
    snapshot,
    pool,
    route: routeName,
    caller: "",
    kind: route.kind,
    prefix: affinityPrefix(prompt, route.targetMs ?? Constants.liveWaitMs),
    trafficClass: "live",
    exclude,
  };
}
