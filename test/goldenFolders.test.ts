import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { DataFolder } from "../src/runtime/dataFolder";
import { groupFiles, openControlLog } from "./golden/controlLog";
import { Exchange } from "./golden/exchange";
import { recordRareEvents } from "./golden/rareEventRun";
import { logEventShapes, readDataFolders, readGolden } from "./golden/recordings";
import { DataFolders, reopenDataFolders, generateDataFolders } from "./golden/dataFolderRun";
import { TaskRunner } from "./taskRunner";

/** Returns the names of the files that differ. The contents would make a failure message unreadable. */
function differingFiles(expected: DataFolders, actual: DataFolders): string[] {
  const names = (folders: DataFolders): string[] =>
    Object.entries(folders).flatMap(([process, files]) => Object.keys(files).map((file) => `${process}/${file}`));
  const content = (folders: DataFolders, name: string): Buffer | undefined => {
    const [process, ...file] = name.split("/");
    return folders[process]?.[file.join("/")];
  };
  const all = [...new Set([...names(expected), ...names(actual)])].sort();
  return all.filter((name) => {
    const [before, after] = [content(expected, name), content(actual, name)];
    return !before || !after || !before.equals(after);
  });
}

test("a fleet opens the data folders of an earlier version and gives the recorded responses", async () => {
  const exchanges = JSON.parse(JSON.stringify(await reopenDataFolders(readDataFolders("folders")))) as Exchange[];
  const recorded = readGolden<Exchange[]>("readBack.json");
  expect(exchanges.map(({ request, status }) => ({ request, status }))).toEqual(
    recorded.map(({ request, status }) => ({ request, status })),
  );
  expect(exchanges).toEqual(recorded);
});
test("a control log has the recorded term, vote, voters and entries, with its snapshot and from the logs alone", async () => {
  const files = readDataFolders("folders")["control-1"];
  expect({
    fromSnapshot: await openControlLog(groupFiles(files, true)),
    fromLogs: await openControlLog(groupFiles(files, false)),
  }).toEqual(readGolden("controlLog.json"));
});
test("too few voters, a damaged snapshot, a foreign folder, a repair and a planned operation are logged as recorded", async () => {
  expect(logEventShapes(await recordRareEvents(readDataFolders("folders")))).toEqual(readGolden("rareLogEvents.json"));
});
test("a run with a fixed seed writes the recorded bytes to every file of its data folders", async () => {
  const recorded = readDataFolders("presentFolders");
  expect(Object.keys(recorded)).toEqual(["control-1", "store-1", "store-2"]);
  expect(differingFiles(recorded, await generateDataFolders())).toEqual([]);
});
test("a real data folder has a lock file and an identity file in the recorded formats", async () => {
  const parent = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-golden-"));
  const folder = path.join(parent, "data");
  const identity = { id: "store-1abc", cluster: "golden", program: "store" as const };
  const opened = await TaskRunner.run((env) => DataFolder.open(env, folder, "127.0.0.1:7660", identity));
  expect(opened).toEqual({ ok: true, value: "store-1abc" });
  expect(fs.readdirSync(folder).sort()).toEqual(["identity", "lock"]);
  expect(fs.readFileSync(path.join(folder, "identity"), "utf8")).toBe(readGolden<string[]>("identity.json")[0]);
  expect(fs.readFileSync(path.join(folder, "lock"), "utf8")).toMatch(/^\d+ \d+ 127\.0\.0\.1:7660\n$/);
  fs.rmSync(parent, { recursive: true, force: true });
});
