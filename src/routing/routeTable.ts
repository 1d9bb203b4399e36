import { Route, Configuration } from "../controlState/configuration";

/** A route that was found by a request's host and path. */
export interface MatchedRoute {
  name: string;
  route: Route;
}

/**
 * An immutable lookup table of a configuration's routes by host and path prefix.
 *
 * @example
 * const table = RouteTable.of(configuration.doc);
 * table.find("shop.example:80", "/ask/17")?.name
 */
export class RouteTable {
  private static latest: { doc: Configuration; table: RouteTable } | undefined;
  /** By lower-case host name, then by path prefix. */
  private readonly hosts = new Map<string, Map<string, MatchedRoute>>();

  private constructor(doc: Configuration) {
    for (const [name, route] of Object.entries(doc.bindings)) {
      if (route.host === undefined || route.prefix === undefined) continue;
      const host = route.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, MatchedRoute>();
      this.hosts.set(host, prefixes.set(route.prefix, { name, route }));
    }
  }

  /** Returns the table of a configuration; caches the latest one. */
  static of(doc: Configuration): RouteTable {
    if (this.latest?.doc !== doc) this.latest = { doc, table: new RouteTable(doc) };
    return this.latest.table;
  }

  /** Returns the host's route with the longest matching path prefix. A port in the host is ignored. */
  find(host: string, path: string): MatchedRoute | undefined {
    const prefixes = this.hosts.get(host.toLowerCase().replace(/:\d+$/, ""));
    if (!prefixes) return undefined;
    for (let end = path.lastIndexOf("/"); end >= 0; end = end > 0 ? path.lastIndexOf("/", end - 1) : -1) {
      const match = prefixes.get(path.slice(0, end + 1));
      if (match) return match;
    }
    return undefined;
  }
}
