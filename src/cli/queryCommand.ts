import type { Sade } from "sade";
import { printError, printLine } from "./output";
import { CommandOptions, ExitCode, nodeCommand } from "./operator/commandRunner";
import { sendRequest } from "./operator/operatorClient";
import { MembersBody, ShardsBody } from "./operator/responses";
import { queryTables, Row, runSelect, Tables } from "./selectQuery";

/** Reads the fleet's state from one node, as tables. */
async function readTables(node: string): Promise<Tables> {
  const cluster = (await sendRequest(node, "GET", "/v1/members")).body as MembersBody;
  const { stores } = (await sendRequest(node, "GET", "/v1/shards")).body as ShardsBody;
  return {
    members: cluster.members,
    replicas: cluster.replicas,
    views: cluster.views.map((view) => ({ ...view, members: view.members.join(" ") })),
    shards: stores.flatMap(({ store, shards }) =>
      shards.map((replica) => ({ store, ...replica, failing: replica.failing.join(" ") })),
    ),
    lots: stores.flatMap((store) => store.lots),
  };
}
function printRow(row: Row): void {
  const columns = Object.entries(row).map(([name, value]) => `${name}=${String(value)}`);
  printLine(columns.join("  "));
}
async function query(text: string, options: CommandOptions): Promise<void> {
  let tables: Tables;
  try {
    tables = await readTables(options.node);
  } catch (error) {
    printError(`node not reached: ${(error as Error).message}`);
    process.exit(ExitCode.nodeUnreachable);
  }
  try {
    const rows = runSelect(text, tables);
    if (options.json) printLine(JSON.stringify(rows));
    else rows.forEach(printRow);
  } catch (error) {
    printError((error as Error).message);
    process.exit(ExitCode.usage);
  }
}

/** Adds the command that queries the fleet's state with SQL. */
export function addQueryCommand(program: Sade): void {
  nodeCommand(program, "query <select>", `Queries the fleet's state with SQL; tables: ${queryTables.join(", ")}.`)
    .example(`query "SELECT district, COUNT(*) AS n FROM replicas GROUP BY district" --node 127.0.0.1:17002`)
    .action(query);
}
