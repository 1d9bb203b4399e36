import { Binding, Manifest } from "../control/controlState";

export type Bound = { name: string; binding: Binding };

/**
 * The bindings that are reached by host and path, as one immutable table a manifest.
 *
 * @example
 * const table = BindingTable.of(manifest.doc);
 * table.find("kiln.example:80", "/ask/17")?.name
 */
export class BindingTable {
  private static last: { doc: Manifest; table: BindingTable } | undefined;
  private readonly hosts = new Map<string, Map<string, Bound>>();
  private constructor(doc: Manifest) {
    for (const [name, binding] of Object.entries(doc.bindings)) {
      if (binding.host === undefined || binding.prefix === undefined) continue;
      const host = binding.host.toLowerCase();
      const prefixes = this.hosts.get(host) ?? new Map<string, Bound>();
      this.hosts.set(host, prefixes.set(binding.prefix, { name, binding }));
    }
  }
  /** @example BindingTable.of(doc) */
  static of(doc: Manifest): BindingTable {
    if (this.last?.doc !== doc) this.last = { doc, table: new BindingTable(doc) };
    return this.last.table;
  }
  /** The longest prefix that begins the path, among the bindings of the host. @example table.find("a.example", "/x/y") */
  find(host: string, path: string): Bound | undefined {
    const prefixes = this.hosts.get(host.toLowerCase().replace(/:\d+$/, ""));
    if (!prefixes) return undefined;
    for (let end = path.lastIndexOf("/"); end >= 0; end = end > 0 ? path.lastIndexOf("/", end - 1) : -1) {
      const bound = prefixes.get(path.slice(0, end + 1));
      if (bound) return bound;
    }
    return undefined;
  }
}
