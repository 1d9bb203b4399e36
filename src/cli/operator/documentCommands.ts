import type { Sade } from "sade";
import { parseConfiguration } from "../../adapters/schemas/configurationSchemas";
import { parsePolicies } from "../../adapters/schemas/policySchemas";
import { readJsonFile } from "../jsonFile";
import { printError, printLine } from "../output";
import {
  ChangeOptions,
  CommandOptions,
  changeCommand,
  ExitCode,
  nodeCommand,
  readResource,
  sendChange,
  versionOption,
} from "./commandRunner";

/** The versioned documents, by their names on the wire; `manifest` is the configuration. */
type DocumentName = "manifest" | "policies";

function checkFile(document: DocumentName, name: string): void {
  const content = readJsonFile(name);
  const checked = document === "manifest" ? parseConfiguration(content) : parsePolicies(content);
  if (checked.ok) {
    printLine(`${name} is valid`);
    return;
  }
  for (const path of checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : []) printError(path);
  process.exitCode = ExitCode.usage;
}
function addCommandsFor(program: Sade, document: DocumentName): void {
  const path = `/v1/${document}`;
  nodeCommand(program, `${document} get`, `Prints the ${document} and the version.`).action((options: CommandOptions) =>
    readResource(options, path, (body) => printLine(JSON.stringify(body, null, 2))),
  );
  changeCommand(program, `${document} put <file>`, `Replaces the ${document}.`).action(
    (file: string, options: ChangeOptions) =>
      sendChange(options, { method: "PUT", path, body: readJsonFile(file), version: versionOption(options) }),
  );
  nodeCommand(program, `${document} check <file>`, `Checks a ${document} file without sending it.`).action(
    (file: string) => checkFile(document, file),
  );
}

/** Adds the commands that read, check and change the configuration and the policies. */
export function addDocumentCommands(program: Sade): void {
  addCommandsFor(program, "manifest");
  addCommandsFor(program, "policies");
  changeCommand(
    program,
    "manifest patch <file>",
    "Changes single items of the manifest; the file holds { version?, upsert, remove }.",
  ).action((file: string, options: ChangeOptions) =>
    sendChange(options, {
      method: "PATCH",
      path: "/v1/manifest",
      body: readJsonFile(file),
      version: versionOption(options),
    }),
  );
}
