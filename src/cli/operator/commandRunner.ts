import type { Sade } from "sade";
import { printError, printLine, USAGE_EXIT_CODE } from "../output";
import { OperatorResponse, sendRequest } from "./operatorClient";
import { ChangeBody, ProblemBody } from "./responses";

/** Exit codes of the operators' commands. */
export const ExitCode = {
  rejected: 1,
  usage: USAGE_EXIT_CODE,
  nodeUnreachable: 3,
  /** The change may or may not have been applied. */
  outcomeUnknown: 4,
} as const;
const DEFAULT_NODE = "127.0.0.1:8080";

/** Options of all commands that talk to a node. */
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
/** A request to change a resource, made against a version of it. */
export interface ChangeRequest {
  method: string;
  path: string;
  body?: unknown;
  /** The expected current version; it is read from the node if undefined. */
  version?: number;
}

function exitCodeOf(status: number): number {
  if (status === 504) return ExitCode.outcomeUnknown;
  return status === 400 || status === 428 ? ExitCode.usage : ExitCode.rejected;
}
/** Prints the problem that an error response describes and sets the exit code; does nothing for a success. */
export function printProblem(response: OperatorResponse): void {
  if (response.status >= 200 && response.status < 300) return;
  const problem = (response.body ?? {}) as ProblemBody;
  const origin = problem.step ? ` (step ${problem.step}, member ${problem.member})` : "";
  printError(`${problem.code ?? response.status}: ${problem.detail ?? String(response.body)}${origin}`);
  for (const path of problem.paths ?? []) printError(`  ${path}`);
  if (problem.changeId) printError(`  change id ${problem.changeId}`);
  process.exitCode = exitCodeOf(response.status);
}
/** Runs a task that sends requests to a node; prints an error and sets the exit code if the node is not reached. */
export async function runWithNode(task: () => Promise<void>): Promise<void> {
  try {
    await task();
  } catch (error) {
    printError(`node not reached: ${(error as Error).message}`);
    process.exitCode = ExitCode.nodeUnreachable;
  }
}

/** Reads a resource and prints it: text as it is, JSON with `show`, or unchanged with the option --json. */
export async function readResource<Body>(
  options: CommandOptions,
  path: string,
  show: (body: Body) => void,
): Promise<void> {
  await runWithNode(async () => {
    const response = await sendRequest(options.node, "GET", path);
    if (response.status === 200) {
      if (typeof response.body === "string") printLine(response.body);
      else if (options.json) printLine(JSON.stringify(response.body));
      else show(response.body as Body);
    }
    printProblem(response);
  });
}

async function currentVersion(node: string, path: string): Promise<number> {
  const current = await sendRequest(node, "GET", path);
  return current.status === 404 ? 0 : (current.body as ChangeBody).version;
}
/** Sends a change and prints its outcome. */
export async function sendChange(options: ChangeOptions, change: ChangeRequest): Promise<void> {
  await runWithNode(async () => {
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
    printProblem(response);
  });
}
/** The value of --if-version, or undefined without that option. */
export const versionOption = (options: ChangeOptions): number | undefined =>
  options["if-version"] === undefined ? undefined : Number(options["if-version"]);

/** Declares a command that sends requests to a node. */
export const nodeCommand = (program: Sade, usage: string, help: string): Sade =>
  program
    .command(usage)
    .describe(help)
    .option("-n, --node", "IP:port of HTTP of any node", DEFAULT_NODE)
    .option("-j, --json", "Print the node's JSON response unchanged");
/** Declares a command that changes a resource. */
export const changeCommand = (program: Sade, usage: string, help: string): Sade =>
  nodeCommand(program, usage, help)
    .option("--if-version", "Version that the change is made against (default: the current one)")
    .option("--change", "Change id, to look up the outcome or to retry the change")
    .option("--by", "Name of the operator, for the ledger");
