import type { Configuration, EndpointPool, Route } from "./configuration";

type Pools = Record<string, EndpointPool> | undefined;

function poolProblems(name: string, route: Route, pools: Pools): string[] {
  if (pools === undefined) return [];
  const named = new Set([route.pool, ...(route.split ?? []).map((share) => share.pool)]);
  return [...named]
    .filter((pool) => !Object.hasOwn(pools, pool))
    .map((pool) => `/bindings/${name}: names pool ${pool}, which is not there`);
}

function routeProblems(name: string, route: Route, pools: Pools): string[] {
  const problems = poolProblems(name, route, pools);
  if (route.split && route.split.reduce((sum, share) => sum + share.weight, 0) <= 0)
    problems.push(`/bindings/${name}/split: weights add up to 0`);
  if (route.split?.some((share) => share.weight < 0)) problems.push(`/bindings/${name}/split: a weight is under 0`);
  if (!(route.deadlineMs > 0)) problems.push(`/bindings/${name}/deadlineMs: must be over 0`);
  if ((route.host === undefined) !== (route.prefix === undefined))
    problems.push(`/bindings/${name}: host and prefix go together`);
  return problems;
}

/** Returns a problem for each direct route that has the same host and path prefix as another one. */
function duplicateProblems(routes: Record<string, Route>): string[] {
  const problems: string[] = [];
  const nameByMatch = new Map<string, string>();
  for (const [name, route] of Object.entries(routes)) {
    if (route.host === undefined) continue;
    const match = `${route.host.toLowerCase()} ${route.prefix}`;
    const other = nameByMatch.get(match);
    if (other !== undefined) problems.push(`/bindings/${name}: host and prefix are those of ${other}`);
    else nameByMatch.set(match, name);
  }
  return problems;
}

/**
 * Returns the problems of a configuration as a whole, each with the path of its field; a valid configuration has none.
 * The check runs before a change is proposed and again when the change is applied, since the base of a patch may have
 * changed by then.
 */
export function configurationProblems(doc: Configuration): string[] {
  const allRouteProblems = Object.entries(doc.bindings).flatMap(([name, route]) =>
    routeProblems(name, route, doc.pools),
  );
  return [...allRouteProblems, ...duplicateProblems(doc.bindings)];
}
