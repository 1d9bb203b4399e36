import { Constants } from "../src/common/constants";
import { CutResponses } from "../src/forwarding/cutResponses";
import { EndpointBody } from "../src/forwarding/endpointBody";
import { EndpointHttp } from "../src/forwarding/endpointHttp";
import { EventStreamReader } from "../src/forwarding/eventStreamReader";
import { BodyEnd, BodyFraming, HttpResponse } from "../src/runtime/env";
import { Csp, Task } from "../src/runtime/csp";
import { SimDisk } from "../src/simulation/simDisk";
import { SimProcess, SimWorld } from "../src/simulation/simWorld";
import { modelEndpoint } from "./modelEndpoint";
import { SocketTestBed } from "./rawSockets";

const READ_TIMEOUT_MS = 200;

let world: SimWorld;
let reader: SimProcess;
let abortCount: number;
beforeEach(() => {
  world = new SimWorld(1, () => undefined);
  reader = world.start("reader", new SimDisk(world));
  abortCount = 0;
});
afterEach(() => expect(reader.errors).toEqual([]));

/** A response with one chunk; without an end it stays open. */
function response(text: string, framing: BodyFraming, end: BodyEnd | undefined): HttpResponse {
  const chunks = Csp.chan<Buffer>(4);
  Csp.offer(chunks, Buffer.from(text));
  if (end !== undefined) chunks.close();
  return {
    status: 200,
    headers: {},
    framing,
    chunks,
    bodyEnd: () => end ?? "aborted",
    abort: () => void (abortCount += 1),
    discardBody: () => undefined,
  };
}
const run = async <T>(body: () => Task<T>): Promise<T> => (await world.runTask(reader, body, 5000))!;
const read = (opened: HttpResponse, endpointId = "r1") =>
  run(() => new EndpointBody(reader.env, endpointId, opened, "read reply").readAll(READ_TIMEOUT_MS));
const metrics = (): Record<string, number> => CutResponses.of(reader.env).metrics();
const cutEvents = (): string[] => reader.logs.filter((line) => line.includes("1205"));

test("a body that was cut off is a fault that tells its cause, and a complete one is none", async () => {
  expect(await read(response("all", "connection", "complete"))).toEqual({ ok: true, value: Buffer.from("all") });
  expect(await read(response("par", "connection", "reset"))).toMatchObject({ ok: false, fault: { tag: "broken" } });
  expect(await read(response("par", "length", "truncated"))).toMatchObject({ ok: false, fault: { tag: "broken" } });
  expect(await read(response("par", "chunked", undefined))).toMatchObject({ ok: false, fault: { tag: "timeout" } });
  expect(abortCount).toBe(3);
});
test("metrics and log tell resets, early ends and time-outs apart, by endpoint and framing", async () => {
  await read(response("all", "connection", "complete"));
  await read(response("par", "connection", "aborted"));
  expect([metrics(), cutEvents()]).toEqual([{}, []]);
  await read(response("par", "connection", "reset"), "r1");
  await read(response("par", "length", "truncated"), "r1");
  await read(response("par", "chunked", undefined), "r2");
  expect(metrics()).toEqual({
    'cut_responses{endpoint="r1",framing="connection",cause="reset"}': 1,
    'cut_responses{endpoint="r1",framing="length",cause="truncated"}': 1,
    'cut_responses{endpoint="r2",framing="chunked",cause="timeout"}': 1,
  });
  expect(cutEvents()).toHaveLength(3);
});
test("a stream that ends inside an event is reported as truncated although its framing is complete", async () => {
  const events = new EventStreamReader(reader.env, "r1", response("id: 1\ndata: a", "connection", "complete"), 0);
  expect(await run(() => events.next(READ_TIMEOUT_MS))).toMatchObject({ ok: false, fault: { tag: "broken" } });
  expect(metrics()).toEqual({ 'cut_responses{endpoint="r1",framing="connection",cause="truncated"}': 1 });
});
test("many cuts of one endpoint are counted each and logged once a second with their number", async () => {
  for (let n = 0; n < 50; n += 1) await read(response("par", "connection", "reset"));
  expect(cutEvents()).toHaveLength(1);
  await world.run(1000);
  await read(response("par", "connection", "reset"));
  expect(cutEvents()).toHaveLength(2);
  expect(cutEvents()[1]).toContain('"times":50');
  expect(Object.values(metrics())).toEqual([51]);
});
test("the number of series stays bounded, and none of the cuts is lost from their sum", async () => {
  for (let n = 0; n < 700; n += 1) await read(response("par", "connection", "reset"), `r${n}`);
  expect(Object.keys(metrics()).length).toBeLessThanOrEqual(501);
  expect(Object.values(metrics()).reduce((sum, count) => sum + count, 0)).toBe(700);
});
test("a body over the limit is a fault and not a cut of the endpoint", async () => {
  const tooLong = response("x".repeat(Constants.responseLimitBytes + 1), "connection", "complete");
  expect(await read(tooLong)).toMatchObject({ ok: false, fault: { tag: "invalid" } });
  expect(metrics()).toEqual({});
});
test("a JSON response without a length that is reset where its first part is valid JSON too is no success", async () => {
  const bed = new SocketTestBed();
  const port = await bed.listen((socket) => {
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12");
      socket.resetAndDestroy();
    });
  });
  const endpoint = { ...modelEndpoint(1), address: `127.0.0.1:${port}` };
  const request = {
    path: "/",
    id: "q",
    attempt: 1,
    body: "{}",
    receivedChunks: [],
    deadlineMs: 3000,
    idempotent: true,
  };
  const single = await bed.run(() => EndpointHttp.single(bed.env, endpoint, request));
  expect(single).toMatchObject({ ok: false, fault: { tag: "broken" } });
  bed.close();
  expect(bed.errors).toEqual([]);
});
