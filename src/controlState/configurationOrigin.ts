import type { Configuration } from "./configuration";

type WithOrigin = { origin?: unknown };

const configurations = new WeakMap<Configuration, Configuration>();
const items = new WeakMap<object, object>();

const copyWithoutOrigin = <T extends WithOrigin>({ origin: _origin, ...rest }: T): Omit<T, "origin"> => rest;

/** Returns the same object for the same item, so that a comparison by identity finds unchanged items. */
function itemWithoutOrigin<T extends WithOrigin>(item: T): Omit<T, "origin"> {
  const known = items.get(item) as Omit<T, "origin"> | undefined;
  if (known) return known;
  const stripped = copyWithoutOrigin(item);
  items.set(item, stripped);
  return stripped;
}

function itemsWithoutOrigin<T extends WithOrigin>(named: Record<string, T>): Record<string, Omit<T, "origin">> {
  return Object.fromEntries(Object.entries(named).map(([name, item]) => [name, itemWithoutOrigin(item)]));
}

/**
 * Returns the configuration without the operator's original form, as nodes receive it. The same configuration always
 * gives the same object.
 *
 * @example
 * withoutOrigin(doc).origin; // undefined
 */
export function withoutOrigin(doc: Configuration): Configuration {
  const known = configurations.get(doc);
  if (known) return known;
  const { pools, ...rest } = copyWithoutOrigin(doc);
  const stripped: Configuration = {
    ...rest,
    bindings: itemsWithoutOrigin(doc.bindings),
    ...(pools ? { pools: itemsWithoutOrigin(pools) } : {}),
  };
  configurations.set(doc, stripped);
  return stripped;
}
