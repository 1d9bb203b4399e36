import type { Configuration, EndpointPool, Limits, Route } from "./configuration";

/** Changes of a configuration by route and pool. */
export interface ConfigurationPatch {
  /** Routes and pools that are added or replaced, by name. */
  upsert: { bindings?: Record<string, Route>; pools?: Record<string, EndpointPool> };
  /** Names of routes and pools that are removed. */
  remove: { bindings?: string[]; pools?: string[] };
  /** Replaces the limits; absent: they stay. */
  limits?: Limits;
}

type Named<T> = Record<string, T>;
type ItemChanges<T> = { upsert: Named<T>; remove: string[] };

/** A patch is made only where at most one item in so many has changed. */
const MIN_ITEMS_PER_CHANGE = 4;

/** An upserted item keeps its position; a new one comes last. */
function patchItems<T>(items: Named<T>, upsert: Named<T> = {}, remove: string[] = []): Named<T> {
  const next = { ...items };
  for (const name of remove) delete next[name];
  return Object.assign(next, upsert);
}

/** The changes from one set of items to another; undefined where they would not give the same order. */
function changesOf<T>(from: Named<T>, to: Named<T>): ItemChanges<T> | undefined {
  const remove = Object.keys(from).filter((name) => !Object.hasOwn(to, name));
  const upsert = Object.fromEntries(Object.entries(to).filter(([name, item]) => from[name] !== item));
  const order = Object.keys(patchItems(from, upsert, remove));
  const sameOrder = Object.keys(to).every((name, position) => order[position] === name);
  return sameOrder ? { upsert, remove } : undefined;
}

/** What a patch cannot change, as text that can be compared. */
function unpatchableText({ bindings: _bindings, pools: _pools, limits: _limits, ...rest }: Configuration): string {
  return JSON.stringify(rest);
}

function differsBeyondPatch(from: Configuration, to: Configuration): boolean {
  return (
    unpatchableText(from) !== unpatchableText(to) ||
    (from.pools === undefined) !== (to.pools === undefined) ||
    (!!from.limits && !to.limits)
  );
}

/**
 * Patches of a configuration.
 *
 * @example
 * const next = ConfigurationPatch.apply(current, { upsert: { bindings: { search } }, remove: {} });
 */
export const ConfigurationPatch = {
  /** The configuration after a patch. @example ConfigurationPatch.apply(doc, { upsert: {}, remove: { bindings: ["old"] } }) */
  apply(doc: Configuration, patch: ConfigurationPatch): Configuration {
    const pools =
      (doc.pools ?? patch.upsert.pools)
        ? { pools: patchItems(doc.pools ?? {}, patch.upsert.pools, patch.remove.pools) }
        : {};
    const limits = patch.limits ? { limits: patch.limits } : {};
    return {
      ...doc,
      bindings: patchItems(doc.bindings, patch.upsert.bindings, patch.remove.bindings),
      ...pools,
      ...limits,
    };
  },

  /**
   * The patch that turns one configuration into another; undefined where too much has changed, or a patch cannot
   * express it. Items are compared by identity, not by value.
   * @example ConfigurationPatch.between(former, next)?.upsert.bindings
   */
  between(from: Configuration, to: Configuration): ConfigurationPatch | undefined {
    if (differsBeyondPatch(from, to)) return undefined;
    const routes = changesOf(from.bindings, to.bindings);
    const pools = changesOf(from.pools ?? {}, to.pools ?? {});
    if (!routes || !pools) return undefined;
    const changed = Object.keys(routes.upsert).length + Object.keys(pools.upsert).length;
    const total = Object.keys(to.bindings).length + Object.keys(to.pools ?? {}).length;
    if (changed * MIN_ITEMS_PER_CHANGE > total) return undefined;
    return {
      upsert: { bindings: routes.upsert, ...(to.pools ? { pools: pools.upsert } : {}) },
      remove: { bindings: routes.remove, pools: pools.remove },
      ...(to.limits ? { limits: to.limits } : {}),
    };
  },
};
