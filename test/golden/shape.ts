/**
 * A value's fields: each path with the JSON types that stood there, joined by "|"; where a field says which of several
 * cases it is, with the values themselves.
 */
export type Shape = Record<string, string>;

const generatedKeyPattern = /^\d+$|~|^[a-z]+-[0-9a-z]{9,}|^crowd\/|^demand\/|^replica\//;
const caseFieldPattern = /\.(tag|op|kind|state|fate|role|code|title|program)$/;
const typeOf = (value: unknown): string =>
  value === null ? "null" : Array.isArray(value) ? "array" : typeof value === "object" ? "object" : typeof value;
/** A key that a run makes up, such as a number or a node's id, stands as "*". */
const pathKey = (key: string): string => (generatedKeyPattern.test(key) ? "*" : key);

function collect(path: string, value: unknown, found: Map<string, Set<string>>): void {
  const types = found.get(path) ?? new Set<string>();
  const isCase = typeof value === "string" && caseFieldPattern.test(path);
  found.set(path, types.add(isCase ? `'${value}'` : typeOf(value)));
  if (Array.isArray(value)) for (const item of value) collect(`${path}[]`, item, found);
  else if (typeof value === "object" && value !== null)
    for (const [key, child] of Object.entries(value)) {
      // a field without a value is not sent
      if (child !== undefined) collect(`${path}.${pathKey(key)}`, child, found);
    }
}

/**
 * Field names and JSON types of values, without the values.
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
