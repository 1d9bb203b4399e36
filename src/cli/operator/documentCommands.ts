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
    printLine(`${name} is well`);
    return;
  }
  for (const path of checked.fault.tag === "invalid" ? (checked.fault.paths ?? []) : []) printError(path);
  process.exitCode = ExitCode.usage;
}
function addDocument(program: Sade, document: DocumentName): void {
  const path = `/v1/${document}`;
  nodeCommand(program, `${document} get`, `Shows the ${document} and its version.`).action((options: CommandOptions) =>
    readResource(options, path, (body) => printLine(JSON.stringify(body, null, 2))),
  );
  changeCommand(program, `${document} put <file>`, `Changes the ${document}.`).action(
    (file: string, options: ChangeOptions) =>
      sendChange(options, { method: "PUT", path, body: readJsonFile(file), version: versionOption(options) }),
  );
  nodeCommand(program, `${document} check <file>`, `Checks a ${document} file without sending it.`).action(
    (file: string) => checkFile(document, file),
  );
}

/** Commands on the configuration and the policies. @example addDocumentCommands(program); */
export function addDocumentCommands(program: Sade): void {
  addDocument(program, "manifest");
  addDocument(program, "policies");
  changeCommand(
    program,
    "manifest patch <file>",
    "Changes a manifest item by item: { version?, upsert, remove }.",
  ).action((file: string, options: ChangeOptions) =>
    sendChange(options, {
      method: "PATCH",
      path: "/v1/manifest",
      body: readJsonFile(file),
      version: versionOption(options),
    }),
  );
}
