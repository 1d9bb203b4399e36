import { Route, Limits, Configuration, EndpointPool } from "./controlState";

/** A change of a manifest item by item, by name. */
export type ConfigurationPatch = {
  upsert: { bindings?: Record<string, Route>; pools?: Record<string, EndpointPool> };
  remove: { bindings?: string[]; pools?: string[] };
  limits?: Limits;
};
const bared = new WeakMap<Configuration, Configuration>();
const bareItem = <T extends { origin?: unknown }>({ origin: _told, ...rest }: T): Omit<T, "origin"> => rest;
const bareItems = new WeakMap<object, object>();
/** The same object for the same item, so that what stayed as it was is known without comparing. */
function bareKept<T extends { origin?: unknown }>(item: T): Omit<T, "origin"> {
  let bare = bareItems.get(item) as Omit<T, "origin"> | undefined;
  if (!bare) {
    bare = bareItem(item);
    bareItems.set(item, bare);
  }
  return bare;
}
/** What became otherwise among named items; undefined where the order did too. */
function between<T>(
  from: Record<string, T>,
  to: Record<string, T>,
): { upsert: Record<string, T>; remove: string[] } | undefined {
  const remove = Object.keys(from).filter((name) => !Object.hasOwn(to, name));
  const changed = Object.entries(to).filter(([name, item]) => from[name] !== item);
  const upsert = Object.fromEntries(changed);
  const order = Object.keys(merged(from, upsert, remove));
  return Object.keys(to).every((name, at) => order[at] === name) ? { upsert, remove } : undefined;
}
const mapped = <T, R>(items: Record<string, T>, map: (item: T) => R): Record<string, R> =>
  Object.fromEntries(Object.entries(items).map(([name, item]) => [name, map(item)]));
/** An upserted item stays where it stood; a new one comes last. */
function merged<T>(items: Record<string, T>, upsert: Record<string, T> = {}, remove: string[] = []): Record<string, T> {
  const next = { ...items };
  for (const name of remove) delete next[name];
  return Object.assign(next, upsert);
}
function routeFaults(name: string, route: Route, pools: Record<string, EndpointPool> | undefined): string[] {
  const faults: string[] = [];
  const unknown = (pool: string): boolean => pools !== undefined && !Object.hasOwn(pools, pool);
  for (const pool of new Set([route.pool, ...(route.split ?? []).map((part) => part.pool)]))
    if (unknown(pool)) faults.push(`/bindings/${name}: names pool ${pool}, which is not there`);
  if (route.split && route.split.reduce((sum, part) => sum + part.weight, 0) <= 0)
    faults.push(`/bindings/${name}/split: weights add up to 0`);
  if (route.split?.some((part) => part.weight < 0)) faults.push(`/bindings/${name}/split: a weight is under 0`);
  if (!(route.deadlineMs > 0)) faults.push(`/bindings/${name}/deadlineMs: must be over 0`);
  if ((route.host === undefined) !== (route.prefix === undefined))
    faults.push(`/bindings/${name}: host and prefix go together`);
  return faults;
}

/**
 * What holds for a whole manifest, whoever brings it: checked before it is asked for, and again where it is applied.
 *
 * @example
 * const next = Manifests.patched(doc, { upsert: { bindings: { b } }, remove: {} });
 * if (Manifests.faults(next).length > 0) return refused;
 */
export const Configurations = {
  /** What is wrong with it, each with its path; none: it is well. @example Manifests.faults(doc)[0] */
  faults(doc: Configuration): string[] {
    const faults = Object.entries(doc.bindings).flatMap(([name, route]) => routeFaults(name, route, doc.pools));
    const places = new Map<string, string>();
    for (const [name, route] of Object.entries(doc.bindings)) {
      if (route.host === undefined) continue;
      const place = `${route.host.toLowerCase()} ${route.prefix}`;
      const other = places.get(place);
      if (other !== undefined) faults.push(`/bindings/${name}: host and prefix are those of ${other}`);
      else places.set(place, name);
    }
    return faults;
  },
  /** The manifest after a change by item. @example Manifests.patched(doc, { upsert: {}, remove: { bindings: ["old"] } }) */
  patched(doc: Configuration, patch: ConfigurationPatch): Configuration {
    const pools =
      (doc.pools ?? patch.upsert.pools)
        ? { pools: merged(doc.pools ?? {}, patch.upsert.pools, patch.remove.pools) }
        : {};
    const limits = patch.limits ? { limits: patch.limits } : {};
    return {
      ...doc,
      bindings: merged(doc.bindings, patch.upsert.bindings, patch.remove.bindings),
      ...pools,
      ...limits,
    };
  },
  /**
   * The change by item that makes one manifest of another, where few of its items became otherwise; those that stayed
   * are known by being the same objects.
   * @example Manifests.between(former, next)?.upsert.bindings
   */
  between(from: Configuration, to: Configuration): ConfigurationPatch | undefined {
    const rest = ({ bindings: _bindings, pools: _pools, limits: _limits, ...others }: Configuration): string =>
      JSON.stringify(others);
    if (
      rest(from) !== rest(to) ||
      (from.pools === undefined) !== (to.pools === undefined) ||
      (from.limits && !to.limits)
    )
      return undefined;
    const routes = between(from.bindings, to.bindings);
    const pools = between(from.pools ?? {}, to.pools ?? {});
    if (!routes || !pools) return undefined;
    const touched = Object.keys(routes.upsert).length + Object.keys(pools.upsert).length;
    if (touched * 4 > Object.keys(to.bindings).length + Object.keys(to.pools ?? {}).length) return undefined;
    return {
      upsert: { bindings: routes.upsert, ...(to.pools ? { pools: pools.upsert } : {}) },
      remove: { bindings: routes.remove, pools: pools.remove },
      ...(to.limits ? { limits: to.limits } : {}),
    };
  },
  /** Without the operator's own form, which only control keeps; the same object for the same manifest. @example Manifests.bare(doc).origin // undefined */
  bare(doc: Configuration): Configuration {
    let bare = bared.get(doc);
    if (!bare) {
      const { pools, ...rest } = bareItem(doc);
      bare = {
        ...rest,
        bindings: mapped(doc.bindings, bareKept),
        ...(pools ? { pools: mapped(pools, bareKept) } : {}),
      };
      bared.set(doc, bare);
    }
    return bare;
  },
};
