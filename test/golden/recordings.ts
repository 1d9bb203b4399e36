import * as fs from "fs";
import * as path from "path";
import { LogEvents } from "../../src/common/logEvents";
import { Exchange, ResponseShape, responseShape } from "./exchange";
import { Frame, parseFrame } from "./frame";
import { Shape, shapeOf } from "./shape";
import type { DataFolders } from "./dataFolderRun";

/** Folder of the golden files in the source tree; `__dirname` is that of the compiled file in dist. */
export const goldenFolder = path.join(__dirname, "../../../test/golden/data");
/** The recorded data folders: of version 0.1.0, which must still be read, and of the present version. */
export type FolderRecording = "folders" | "presentFolders";

/** Reads a golden JSON file. */
export const readGolden = <T>(file: string, folder = goldenFolder): T =>
  JSON.parse(fs.readFileSync(path.join(folder, file), "utf8")) as T;
export function writeGolden(file: string, content: unknown, folder = goldenFolder): void {
  fs.mkdirSync(folder, { recursive: true });
  fs.writeFileSync(path.join(folder, file), `${JSON.stringify(content, null, 2)}\n`);
}

function filesBelow(folder: string, prefix = ""): string[] {
  return fs.readdirSync(path.join(folder, prefix), { withFileTypes: true }).flatMap((entry) => {
    const name = path.join(prefix, entry.name);
    return entry.isDirectory() ? filesBelow(folder, name) : [name];
  });
}
const FIRST_STORE = "store-1";
/** Reads the recorded data folders. A file that is the same on both storage nodes is stored only in the folder of the first. */
export function readDataFolders(recording: FolderRecording): DataFolders {
  const dataFoldersPath = path.join(goldenFolder, recording);
  const read = (process: string): Record<string, Buffer> =>
    Object.fromEntries(
      filesBelow(path.join(dataFoldersPath, process)).map((file) => [
        file,
        fs.readFileSync(path.join(dataFoldersPath, process, file)),
      ]),
    );
  const folders = Object.fromEntries(fs.readdirSync(dataFoldersPath).map((process) => [process, read(process)]));
  for (const process of Object.keys(folders))
    if (process.startsWith("store-")) folders[process] = { ...folders[FIRST_STORE], ...folders[process] };
  return folders;
}
export function writePresentFolders(folders: DataFolders): void {
  const recording: FolderRecording = "presentFolders";
  const dataFoldersPath = path.join(goldenFolder, recording);
  fs.rmSync(dataFoldersPath, { recursive: true, force: true });
  for (const [process, files] of Object.entries(folders))
    for (const [file, content] of Object.entries(files)) {
      const isOtherStore = process.startsWith("store-") && process !== FIRST_STORE;
      if (isOtherStore && folders[FIRST_STORE][file]?.equals(content)) continue;
      const target = path.join(dataFoldersPath, process, file);
      fs.mkdirSync(path.dirname(target), { recursive: true });
      fs.writeFileSync(target, content);
    }
}

const messageKind = ({ method, kind }: Frame): string => `${method} ${kind}`;
const sortedByKey = <T>(record: Record<string, T>): Record<string, T> =>
  Object.fromEntries(Object.entries(record).sort(([left], [right]) => (left < right ? -1 : 1)));

/** Returns the fields and types of the messages of each method and kind. */
export function messageShapes(frames: Buffer[]): Record<string, Shape> {
  const bodies: Record<string, unknown[]> = {};
  for (const bytes of frames) {
    const frame = parseFrame(bytes);
    (bodies[messageKind(frame)] ??= []).push(frame.body);
  }
  return sortedByKey(Object.fromEntries(Object.entries(bodies).map(([kind, each]) => [kind, shapeOf(each)])));
}

export type GoldenFrame = Frame & { bytes: string };
/** Returns the shortest message of each method and kind, and the shortest deflated message. */
export function shortestFrames(frames: Buffer[]): GoldenFrame[] {
  const shortest: Record<string, Buffer> = {};
  const keepIfShortest = (kind: string, bytes: Buffer): void => {
    if (!shortest[kind] || bytes.length < shortest[kind].length) shortest[kind] = bytes;
  };
  for (const bytes of frames) {
    keepIfShortest(messageKind(parseFrame(bytes)), bytes);
    if (bytes.readUInt8(2) === 2) keepIfShortest("~deflated", bytes);
  }
  return Object.values(sortedByKey(shortest)).map((bytes) => ({
    ...parseFrame(bytes),
    bytes: bytes.toString("base64"),
  }));
}

/** The parts of a response that callers may rely on, with the request. */
export type GoldenResponse = { request: string } & ResponseShape;
export const goldenResponses = (exchanges: Exchange[]): GoldenResponse[] =>
  exchanges.map((exchange) => ({ request: exchange.request, ...responseShape(exchange) }));

const logLinePattern = /^\S+ \S+ PB(\d+) (.*)$/;
/** Returns the fields and types of each log event by its number. */
export function logEventShapes(lines: string[]): Record<string, Shape> {
  const fields: Record<string, unknown[]> = {};
  for (const line of lines) {
    const [, event, text] = logLinePattern.exec(line)!;
    (fields[event] ??= []).push(text === "" ? {} : JSON.parse(text));
  }
  return sortedByKey(Object.fromEntries(Object.entries(fields).map(([event, each]) => [event, shapeOf(each)])));
}

/** Returns the level and text of each log event by its number. */
export const logCatalogue = (): Record<string, string> =>
  Object.fromEntries(Object.entries(LogEvents).map(([event, { level, text }]) => [event, `${level} ${text}`]));
