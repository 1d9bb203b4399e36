import alasql from "alasql";

/** Names of the tables, which are also field names in the responses of the operator interface. */
export const queryTables = ["members", "replicas", "views", "shards", "lots"] as const;
type TableName = (typeof queryTables)[number];
/** A row: values by column name. */
export type Row = Record<string, unknown>;
export type Tables = Record<TableName, Row[]>;

/** The fields of a parsed SQL statement that this module uses. */
interface ParsedStatement {
  from?: unknown;
  into?: unknown;
}
interface ParsedQuery {
  statements?: ParsedStatement[];
  toString(): string;
}
interface TableReference {
  tableid?: string;
  columns?: unknown;
  from?: unknown;
}
/** The parts of alasql that its type declarations lack. */
interface AlasqlLibrary {
  parse(text: string): ParsedQuery;
  Database: new () => { exec(sql: string): Row[]; tables: Record<string, { data: Row[] }> };
}
const library = alasql as unknown as AlasqlLibrary;

const isSelect = (statement: ParsedStatement): boolean =>
  statement.constructor?.name === "Select" || Boolean(statement.from);
const isKnownTable = (name: string): name is TableName => (queryTables as readonly string[]).includes(name);

/** Throws if the statement, or a part of it, reads from anything but the known tables. */
function checkSources(node: unknown): void {
  if (!node || typeof node !== "object") return;
  const { from } = node as { from?: unknown };
  if (Array.isArray(from))
    for (const source of from as TableReference[]) {
      const isSubquery = Boolean(source.columns) || Boolean(source.from);
      if (!isSubquery && !isKnownTable(source.tableid ?? ""))
        throw new Error(`unknown table; known: ${queryTables.join(", ")}`);
    }
  for (const value of Object.values(node)) checkSources(value);
}

/**
 * Runs one SELECT statement over the tables, with alasql. Throws on any other statement, on SELECT INTO, and on a source
 * that is not one of the tables, since alasql has source functions that read files and URLs.
 *
 * @example
 * runSelect("SELECT program, COUNT(*) AS n FROM members GROUP BY program", tables);
 */
export function runSelect(text: string, tables: Tables): Row[] {
  const parsed = library.parse(text);
  const statement = parsed.statements?.[0];
  if (!statement || parsed.statements?.length !== 1 || !isSelect(statement))
    throw new Error("expected exactly one SELECT statement");
  if (statement.into) throw new Error("SELECT INTO is not allowed");
  checkSources(statement);
  const database = new library.Database();
  for (const name of queryTables) {
    database.exec(`CREATE TABLE ${name}`);
    database.tables[name].data = tables[name].map((row) => ({ ...row }));
  }
  return database.exec(parsed.toString());
}
