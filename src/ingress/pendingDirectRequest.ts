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

/** The lowest priority in the header for endpoints, where 0 is served first. */
const LOWEST_PRIORITY = 7;
const DEFAULT_PRIORITY = 5;

/** The state of a direct request across its attempts: what the caller sent, and the progress of the response. */
export interface PendingDirectRequest {
  exchange: HttpExchange;
  routeName: string;
  route: Route;
  /** The pool that the route or its weighted split selected. */
  pool: string;
  prompt: Prompt;
  /** The request that is sent to an endpoint; lastEventId advances with the stream. */
  forwarded: DirectRequest;
  /** The cause that ledger notes name. */
  cause: Cause;
  /** Monotonic ms, as is deadlineAt. */
  arrivedAt: number;
  deadlineAt: number;
  /** Whether the response status and headers have been sent to the caller. */
  responseOpen: boolean;
  /** Whether any endpoint may have run the request. */
  mayHaveRun: boolean;
}

/** Returns the caller's time limit, limited by the route's; without a valid one the route's, in ms. */
function timeLimitMs(route: Route, header: string | undefined): number {
  const requested = Number(header);
  return Math.min(route.deadlineMs, Number.isFinite(requested) && requested > 0 ? requested : route.deadlineMs);
}

/**
 * Reads a request that was matched to a route by host and path. Returns a fault "invalid" if its headers are malformed.
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
    id: headers[headerNames.requestId] ?? EnvironmentTools.randomId(env, "req"),
    remainingMs: leftMs,
    lastEventId: +lastEventId,
    priority: Math.min(LOWEST_PRIORITY, route.order ?? DEFAULT_PRIORITY),
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

/** Returns the criteria by which the endpoint of the next attempt is selected. */
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
    prefix: affinityPrefix(prompt, route.targetMs ?? Constants.admissionWaitMaxMs),
    trafficClass: "live",
    exclude,
  };
}
