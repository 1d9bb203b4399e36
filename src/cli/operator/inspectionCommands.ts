import type { Sade } from "sade";
import { printLine } from "../output";
import { CommandOptions, nodeCommand, readResource, runWithNode } from "./commandRunner";
import { sendRequest } from "./operatorClient";
import { LedgerEntryBody, MembersBody, ShardsBody, VotersBody, WhyBody } from "./responses";

interface LedgerOptions extends CommandOptions {
  after: string;
  limit: string | number;
}

function formatCause(cause: Record<string, unknown>): string {
  const parts = Object.entries(cause).map(([key, value]) => `${key} ${String(value)}`);
  return parts.length > 0 ? `  [${parts.join(", ")}]` : "";
}
function printLedgerEntries(entries: LedgerEntryBody[]): void {
  for (const entry of entries)
    printLine(`${entry.stamp}  ${entry.subject}: ${entry.decision}${formatCause(entry.cause)}`);
}
function printWhy(body: WhyBody): void {
  printLedgerEntries(body.entries);
  if (body.because.length > 0) printLine("because of:");
  printLedgerEntries(body.because);
}
function printMembers(body: MembersBody): void {
  for (const member of body.members)
    printLine(`${member.program}  ${member.id}  ${member.district}  ${member.address}  ${member.state}`);
  for (const endpoint of body.replicas)
    printLine(
      `replica  ${endpoint.id}  ${endpoint.pool}  ${endpoint.district}  ${endpoint.address}  ${endpoint.active}/${endpoint.capacity}  ${endpoint.version}`,
    );
  const drained = body.drained.join(" ") || "none";
  const retiring = body.retiring.join(" ") || "none";
  printLine(
    `group ${body.group}, frame ${body.frame}, manifest ${body.manifest}, drained: ${drained}, retiring: ${retiring}`,
  );
}
function formatVoters({ leader, voters, canWrite, needed }: VotersBody): string {
  const others = voters.filter((id) => !canWrite.includes(id)).join(" ") || "none";
  return `control leader ${leader}: ${canWrite.length} of ${voters.length} voters can write, ${needed} needed; cannot write: ${others}`;
}
/** Prints which voters can write, or that no leader can tell. */
async function printVoters({ node }: CommandOptions): Promise<void> {
  await runWithNode(async () => {
    const { status, body } = await sendRequest(node, "GET", "/v1/voters");
    printLine(status === 200 ? formatVoters(body as VotersBody) : "control group: no leader that a majority follows");
  });
}
async function showMembers(options: CommandOptions): Promise<void> {
  await readResource<MembersBody>(options, "/v1/members", printMembers);
  if (!options.json && !process.exitCode) await printVoters(options);
}
function printShards(body: ShardsBody): void {
  for (const { store, shards } of body.stores)
    for (const replica of shards)
      printLine(
        `${store}  shard ${replica.shard}  epoch ${replica.epoch}  ${replica.role}  seq ${replica.seq}  lots ${replica.lots}`,
      );
}
function addLedgerCommands(program: Sade): void {
  nodeCommand(program, "change <id>", "Prints the outcome of a change.").action((id: string, options: CommandOptions) =>
    readResource(options, `/v1/changes/${id}`, (body) => printLine(JSON.stringify(body))),
  );
  nodeCommand(program, "ledger", "Prints the ledger in its total order.")
    .option("--after", "Stamp of the entry to continue after", "")
    .option("--limit", "Maximum number of entries", 100)
    .action((options: LedgerOptions) =>
      readResource<{ entries: LedgerEntryBody[] }>(
        options,
        `/v1/ledger?after=${encodeURIComponent(options.after)}&limit=${options.limit}`,
        (body) => printLedgerEntries(body.entries),
      ),
    );
  nodeCommand(
    program,
    "why <id>",
    "Prints the ledger entries on a request, lot, item, planned operation, change or shard, and their causes.",
  ).action((id: string, options: CommandOptions) =>
    readResource<WhyBody>(options, `/v1/why/${encodeURIComponent(id)}`, printWhy),
  );
}

/** Adds the read-only commands for the ledger, members, shards, batch jobs and metrics. */
export function addInspectionCommands(program: Sade): void {
  addLedgerCommands(program);
  nodeCommand(program, "members", "Lists the members and the endpoints, and the voters that can write.").action(
    (options: CommandOptions) => showMembers(options),
  );
  nodeCommand(program, "shards", "Lists the replicas of every shard.").action((options: CommandOptions) =>
    readResource<ShardsBody>(options, "/v1/shards", printShards),
  );
  nodeCommand(program, "lot <id>", "Prints the state of a lot (batch job); the node must be an ingress.").action(
    (id: string, options: CommandOptions) =>
      readResource(options, `/v1/lots/${id}`, (body) => printLine(JSON.stringify(body, null, 2))),
  );
  nodeCommand(program, "metrics", "Prints the metrics of the node.").action((options: CommandOptions) =>
    readResource(options, "/metrics", () => undefined),
  );
}
