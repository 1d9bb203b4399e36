import { Route, Configuration } from "../control/controlState";

export type MatchedRoute = { name: string; route: Route };

/**
 * The bindings that are reached by host and path, as one immutable table a manifest.
 *
 * @example
 * const table = BindingTable.of(manifest.doc);
 * table.find("kiln.example:80", "/ask/17")?.name
 */
export class RouteTable {
  private static last: { doc: Configuration; table: RouteTable } | undefined;
  private readonly hosts = new Map<string, Map<string, MatchedRoute>>();
  private constructor(doc: Configuration) {
    for (const [name, route] of Object.entries(doc.bindings)) {
      if (route.host === undefined || route.prefix === undefined) continue;
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, MatchedRoute>();
      this.hosts.set(host, prefixes.set(route.prefix, { name, route }));
    }
  }
  /** @example BindingTable.of(doc) */
  static of(doc: Configuration): RouteTable {
    if (this.last?.doc !== doc) this.last = { doc, table: new RouteTable(doc) };
    return this.last.table;
  }
  /** The longest prefix that begins the path, among the bindings of the host. @example table.find("a.example", "/x/y") */
  find(host: string, path: string): MatchedRoute | undefined {
    const prefixes = this.hosts.get(host.toLowerCase().replace(/:\d+$/, ""));
    if (!prefixes) return undefined;
    for (let end = path.lastIndexOf("/"); end >= 0; end = end > 0 ? path.lastIndexOf("/", end - 1) : -1) {
      const bound = prefixes.get(path.slice(0, end + 1));
      if (bound) return bound;
    }
    return undefined;
  }
}
