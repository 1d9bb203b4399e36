/**
 * The fields of values: maps each path to the JSON types found there, joined by "|". Fields that distinguish variants have
 * their values instead of types.
 */
export type Shape = Record<string, string>;

const generatedKeyPattern = /^\d+$|~|^[a-z]+-[0-9a-z]{9,}|^crowd\/|^demand\/|^replica\//;
const variantFieldPattern = /\.(tag|op|kind|state|fate|role|code|title|program)$/;
const typeOf = (value: unknown): string =>
  value === null ? "null" : Array.isArray(value) ? "array" : typeof value === "object" ? "object" : typeof value;
/** Replaces keys that are generated during a run, such as numbers and node ids, by "*". */
const pathKey = (key: string): string => (generatedKeyPattern.test(key) ? "*" : key);

function collect(path: string, value: unknown, found: Map<string, Set<string>>): void {
  const types = found.get(path) ?? new Set<string>();
  const isVariant = typeof value === "string" && variantFieldPattern.test(path);
  found.set(path, types.add(isVariant ? `'${value}'` : typeOf(value)));
  if (Array.isArray(value)) for (const item of value) collect(`${path}[]`, item, found);
  else if (typeof value === "object" && value !== null)
    for (const [key, child] of Object.entries(value)) {
      // Undefined fields are not sent.
      if (child !== undefined) collect(`${path}.${pathKey(key)}`, child, found);
    }
}

/**
 * Returns the paths and JSON types of the fields of values.
 *
 * @example
 * shapeOf([{ id: "a", tags: ["x"] }, { id: null }]); // { "$": "object", "$.id": "null|string", "$.tags": "array", ... }
 */
export function shapeOf(values: unknown[]): Shape {
  const found = new Map<string, Set<string>>();
  for (const value of values) collect("$", value, found);
  const paths = [...found].sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(paths.map(([path, types]) => [path, [...types].sort().join("|")]));
}
