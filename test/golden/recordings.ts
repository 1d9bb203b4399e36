import * as fs from "fs";
import * as path from "path";
import { LogEvents } from "../../src/common/logEvents";
import { Exchange, ResponseShape, responseShape } from "./exchange";
import { Frame, parseFrame } from "./frame";
import { Shape, shapeOf } from "./shape";
import type { DataFolders } from "./dataFolderRun";

/** Where the golden files stand, seen from the compiled tests. */
export const goldenFolder = path.join(__dirname, "../../../test/golden/data");
const dataFoldersPath = path.join(goldenFolder, "folders");

/** A golden JSON file. @example readGolden<Record<string, Shape>>("messages.json") */
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
/** A replica's files that equal the first store's are kept once. */
export function readDataFolders(): DataFolders {
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
export function writeDataFolders(folders: DataFolders): void {
  fs.rmSync(dataFoldersPath, { recursive: true, force: true });
  for (const [process, files] of Object.entries(folders))
    for (const [file, content] of Object.entries(files)) {
      const isReplica = process.startsWith("store-") && process !== FIRST_STORE;
      if (isReplica && folders[FIRST_STORE][file]?.equals(content)) continue;
      const target = path.join(dataFoldersPath, process, file);
      fs.mkdirSync(path.dirname(target), { recursive: true });
      fs.writeFileSync(target, content);
    }
}

const messageKind = ({ method, kind }: Frame): string => `${method} ${kind}`;
const sortedByKey = <T>(record: Record<string, T>): Record<string, T> =>
  Object.fromEntries(Object.entries(record).sort(([left], [right]) => (left < right ? -1 : 1)));

/** Fields of the messages of each method and kind. @example messageShapes(frames)["shard.put request"] */
export function messageShapes(frames: Buffer[]): Record<string, Shape> {
  const bodies: Record<string, unknown[]> = {};
  for (const bytes of frames) {
    const frame = parseFrame(bytes);
    (bodies[messageKind(frame)] ??= []).push(frame.body);
  }
  return sortedByKey(Object.fromEntries(Object.entries(bodies).map(([kind, each]) => [kind, shapeOf(each)])));
}

export type GoldenFrame = Frame & { bytes: string };
/** The shortest message of each method and kind, and one deflated message. @example shortestFrames(frames)[0].bytes */
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

/** What callers may rely on in each response, in the order of the run. */
export type GoldenResponse = { request: string } & ResponseShape;
export const goldenResponses = (exchanges: Exchange[]): GoldenResponse[] =>
  exchanges.map((exchange) => ({ request: exchange.request, ...responseShape(exchange) }));

const logLinePattern = /^\S+ \S+ PB(\d+) (.*)$/;
/** Fields of each log event. @example logEventShapes(lines)["1401"] */
export function logEventShapes(lines: string[]): Record<string, Shape> {
  const fields: Record<string, unknown[]> = {};
  for (const line of lines) {
    const [, event, text] = logLinePattern.exec(line)!;
    (fields[event] ??= []).push(text === "" ? {} : JSON.parse(text));
  }
  return sortedByKey(Object.fromEntries(Object.entries(fields).map(([event, each]) => [event, shapeOf(each)])));
}

/** Level and text of each numbered log event. @example logCatalogue()["1401"] // "info view installed" */
export const logCatalogue = (): Record<string, string> =>
  Object.fromEntries(Object.entries(LogEvents).map(([event, { level, text }]) => [event, `${level} ${text}`]));
