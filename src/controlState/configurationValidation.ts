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

/** Two direct routes must not match the same host and path prefix. */
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
 * What is wrong with a configuration as a whole, each problem with the path of the field; empty where it is valid. It is
 * checked before a change is proposed, and again where it is applied, since a patch may meet another base by then.
 *
 * @example
 * if (configurationProblems(doc).length > 0) return reject();
 */
export function configurationProblems(doc: Configuration): string[] {
  const ofRoutes = Object.entries(doc.bindings).flatMap(([name, route]) => routeProblems(name, route, doc.pools));
  return [...ofRoutes, ...duplicateProblems(doc.bindings)];
}
