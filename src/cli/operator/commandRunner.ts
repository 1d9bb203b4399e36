import type { Sade } from "sade";
import { printError, printLine, USAGE_EXIT_CODE } from "../output";
import { OperatorResponse, sendRequest } from "./operatorClient";
import { ChangeBody, ProblemBody } from "./responses";

/** Exit codes of the operators' commands. */
export const ExitCode = {
  refused: 1,
  usage: USAGE_EXIT_CODE,
  notReached: 3,
  /** The change may or may not have been taken. */
  outcomeUnknown: 4,
} as const;
const DEFAULT_NODE = "127.0.0.1:8080";

/** Options that every operator's command takes. */
export interface CommandOptions {
  node: string;
  json?: boolean;
}
/** Options of commands that change something. */
export interface ChangeOptions extends CommandOptions {
  "if-version"?: string | number;
  change?: string;
  by?: string;
}
/** One change: where it goes, what it says, and the version that it is made against. */
export interface ChangeRequest {
  method: string;
  path: string;
  body?: unknown;
  /** Read from the node where undefined. */
  version?: number;
}

function exitCodeOf(status: number): number {
  if (status === 504) return ExitCode.outcomeUnknown;
  return status === 400 || status === 428 ? ExitCode.usage : ExitCode.refused;
}
/** Prints what an error response says and sets the exit code; does nothing for a success. @example reportProblem(response); */
export function reportProblem(response: OperatorResponse): void {
  if (response.status >= 200 && response.status < 300) return;
  const problem = (response.body ?? {}) as ProblemBody;
  const origin = problem.step ? ` (step ${problem.step}, member ${problem.member})` : "";
  printError(`${problem.code ?? response.status}: ${problem.detail ?? String(response.body)}${origin}`);
  for (const path of problem.paths ?? []) printError(`  ${path}`);
  if (problem.changeId) printError(`  change id ${problem.changeId}`);
  process.exitCode = exitCodeOf(response.status);
}
/** Runs what talks to a node; sets the exit code where the node is not reached. @example await withNode(async () => { ... }); */
export async function withNode(work: () => Promise<void>): Promise<void> {
  try {
    await work();
  } catch (error) {
    printError(`not reached: ${(error as Error).message}`);
    process.exitCode = ExitCode.notReached;
  }
}

/** Reads a resource and shows it, as JSON where that was asked for. @example await readResource<MembersBody>(options, "/v1/members", show) */
export async function readResource<Body>(
  options: CommandOptions,
  path: string,
  show: (body: Body) => void,
): Promise<void> {
  await withNode(async () => {
    const response = await sendRequest(options.node, "GET", path);
    if (response.status === 200) {
      if (typeof response.body === "string") printLine(response.body);
      else if (options.json) printLine(JSON.stringify(response.body));
      else show(response.body as Body);
    }
    reportProblem(response);
  });
}

async function currentVersion(node: string, path: string): Promise<number> {
  const current = await sendRequest(node, "GET", path);
  return current.status === 404 ? 0 : (current.body as ChangeBody).version;
}
/** Sends a change against a version and prints its outcome. @example await sendChange(options, { method: "PUT", path, body, version: 3 }) */
export async function sendChange(options: ChangeOptions, change: ChangeRequest): Promise<void> {
  await withNode(async () => {
    const version = change.version ?? (await currentVersion(options.node, change.path));
    const response = await sendRequest(options.node, change.method, change.path, change.body, {
      "if-match": `"${version}"`,
      ...(options.change ? { "x-change-id": String(options.change) } : {}),
      ...(options.by ? { "x-operator": String(options.by) } : {}),
    });
    if (response.status === 200) {
      const outcome = response.body as ChangeBody;
      printLine(options.json ? JSON.stringify(outcome) : `version ${outcome.version} (change ${outcome.changeId})`);
    }
    reportProblem(response);
  });
}
/** The version given with --if-version, if any. @example versionOption({ node, "if-version": "3" }) // 3 */
export const versionOption = (options: ChangeOptions): number | undefined =>
  options["if-version"] === undefined ? undefined : Number(options["if-version"]);

/** Declares a command that talks to a node. @example nodeCommand(program, "members", "Lists the members.") */
export const nodeCommand = (program: Sade, usage: string, help: string): Sade =>
  program
    .command(usage)
    .describe(help)
    .option("-n, --node", "IP:port of any node's HTTP", DEFAULT_NODE)
    .option("-j, --json", "JSON as it came");
/** Declares a command that changes something. @example changeCommand(program, "drain <district>", "Drains a zone.") */
export const changeCommand = (program: Sade, usage: string, help: string): Sade =>
  nodeCommand(program, usage, help)
    .option("--if-version", "Version the change was made against (default: the current one)")
    .option("--change", "Change id, to ask after or repeat it")
    .option("--by", "Who asks");
