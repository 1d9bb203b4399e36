import * as fs from "fs";
import * as path from "path";
import { EnvelopeCodec } from "../src/rpc/envelopeCodec";
import { MessageRecording, runMessageScenario } from "./golden/messageRun";
import {
  GoldenFrame,
  GoldenResponse,
  goldenResponses,
  logCatalogue,
  logEventShapes,
  messageShapes,
  readGolden,
} from "./golden/recordings";
import { Shape } from "./golden/shape";

describe("a run with a fixed seed matches the recording", () => {
  let recording: MessageRecording;
  beforeAll(async () => {
    recording = await runMessageScenario();
  });

  test("it sends messages of the same methods with the same fields", () => {
    expect(messageShapes(recording.frames)).toEqual(readGolden<Record<string, Shape>>("messages.json"));
  });
  test("it sends HTTP responses with the same statuses, headers and fields, and metrics with the same names", () => {
    expect(goldenResponses(recording.exchanges)).toEqual(readGolden<GoldenResponse[]>("responses.json"));
  });
  test("it logs events with the same numbers and fields", () => {
    expect(logEventShapes(recording.logLines)).toEqual(readGolden<Record<string, Shape>>("logEvents.json"));
  });
});

test("the codec decodes each recorded message and encodes it to the same bytes", () => {
  for (const { bytes, kind: _kind, ...golden } of readGolden<GoldenFrame[]>("frames.json")) {
    const recorded = Buffer.from(bytes, "base64");
    const envelope = EnvelopeCodec.decode(recorded, golden.cluster)!;
    const { correlationId: correlation, cluster, method, sender, body } = envelope;
    expect({ correlation, cluster, method, sender, body }).toEqual(golden);
    expect([golden.method, EnvelopeCodec.encode(envelope).toString("base64")]).toEqual([golden.method, bytes]);
  }
});
test("the fields of every log event that the operators' documentation mentions are recorded", () => {
  const docs = path.join(__dirname, "../../docs");
  const pages = ["operators.md", ...fs.readdirSync(path.join(docs, "operators")).map((page) => `operators/${page}`)];
  const text = pages.map((page) => fs.readFileSync(path.join(docs, page), "utf8")).join("\n");
  const named = [...new Set([...text.matchAll(/PB(\d{4})/g)].map(([, event]) => event))].sort();
  const recorded = { ...readGolden<object>("logEvents.json"), ...readGolden<object>("rareLogEvents.json") };
  expect(named.length).toBeGreaterThan(20);
  expect(named.filter((event) => !(event in recorded))).toEqual([]);
});
test("the list of log events has the recorded numbers, levels and texts", () => {
  expect(logCatalogue()).toEqual(readGolden("logCatalogue.json"));
});
