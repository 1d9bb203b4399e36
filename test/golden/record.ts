/**
 * Rewrites the golden files. Run `node dist/test/golden/record.js messages|folders`, then format them with prettier.
 * Do this only for intended changes of messages, responses, log events or stored data, and give the reason in the commit.
 */
import { groupFiles, openControlLog } from "./controlLog";
import { runMessageScenario } from "./messageRun";
import {
  goldenResponses,
  logCatalogue,
  logEventShapes,
  messageShapes,
  readDataFolders,
  shortestFrames,
  writeGolden,
  writePresentFolders,
} from "./recordings";
import { recordRareEvents } from "./rareEventRun";
import { reopenDataFolders, generateDataFolders } from "./dataFolderRun";

async function recordMessages(): Promise<void> {
  const { exchanges, frames, logLines } = await runMessageScenario();
  writeGolden("messages.json", messageShapes(frames));
  writeGolden("frames.json", shortestFrames(frames));
  writeGolden("responses.json", goldenResponses(exchanges));
  writeGolden("logEvents.json", logEventShapes(logLines));
  writeGolden("logCatalogue.json", logCatalogue());
}
async function recordFolders(): Promise<void> {
  writePresentFolders(await generateDataFolders());
  const folders = readDataFolders("folders");
  writeGolden("controlLog.json", {
    fromSnapshot: await openControlLog(groupFiles(folders["control-1"], true)),
    fromLogs: await openControlLog(groupFiles(folders["control-1"], false)),
  });
  writeGolden("rareLogEvents.json", logEventShapes(await recordRareEvents(folders)));
  writeGolden("readBack.json", await reopenDataFolders(folders));
}

const recorders: Record<string, () => Promise<void>> = { messages: recordMessages, folders: recordFolders };
const recorder = recorders[process.argv[2] ?? ""];
if (!recorder) throw new Error(`expected one of ${Object.keys(recorders).join(", ")}`);
void recorder().then(() => process.exit(0));
