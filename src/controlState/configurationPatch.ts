import type { Configuration, EndpointPool, Limits, Route } from "./configuration";

/** Changes individual routes and pools of a configuration. */
export interface ConfigurationPatch {
  /** Routes and pools to add or replace, by name. */
  upsert: { bindings?: Record<string, Route>; pools?: Record<string, EndpointPool> };
  /** Names of routes and pools to remove. */
  remove: { bindings?: string[]; pools?: string[] };
  /** New limits; absent: the limits stay unchanged. */
  limits?: Limits;
}

type Named<T> = Record<string, T>;
type ItemChanges<T> = { upsert: Named<T>; remove: string[] };

/** A patch is created only if at most one in this many items has changed. */
const MIN_ITEMS_PER_CHANGE = 4;

/** Applies changes to items. A replaced item keeps its position; a new one comes last. */
function patchItems<T>(items: Named<T>, upsert: Named<T> = {}, remove: string[] = []): Named<T> {
  const next = { ...items };
  for (const name of remove) delete next[name];
  return Object.assign(next, upsert);
}

/** Returns the changes from one set of items to another, or undefined if they would not reproduce the order. */
function changesOf<T>(from: Named<T>, to: Named<T>): ItemChanges<T> | undefined {
  const remove = Object.keys(from).filter((name) => !Object.hasOwn(to, name));
  const upsert = Object.fromEntries(Object.entries(to).filter(([name, item]) => from[name] !== item));
  const order = Object.keys(patchItems(from, upsert, remove));
  const isSameOrder = Object.keys(to).every((name, position) => order[position] === name);
  return isSameOrder ? { upsert, remove } : undefined;
}

/** Returns the parts that a patch cannot change, as text for comparison. */
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
 * Creates and applies patches of a configuration.
 *
 * @example
 * const next = ConfigurationPatch.apply(current, { upsert: { bindings: { search } }, remove: {} });
 */
export const ConfigurationPatch = {
  /** Returns the configuration with the patch applied. */
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
   * Returns the patch that turns one configuration into another, or undefined if too much has changed or a patch cannot
   * express the change. Items are compared by identity, not by value.
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
