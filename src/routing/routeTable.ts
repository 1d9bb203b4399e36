import { Route, Configuration } from "../controlState/configuration";

/** A route that a request's host and path lead to. */
export interface MatchedRoute {
  name: string;
  route: Route;
}

/**
 * The routes that are reached by host and path prefix, as one immutable table for each configuration.
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

  /** The table of a configuration; the latest one is cached. */
  static of(doc: Configuration): RouteTable {
    if (this.latest?.doc !== doc) this.latest = { doc, table: new RouteTable(doc) };
    return this.latest.table;
  }

  /** The route of the host with the longest prefix of the path. The host may carry a port, which is ignored. */
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
