import { spawnSync } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Settings } from "../src/common/settings";
import { RequestTable } from "../src/ingress/requestTable";
import { SimFleet } from "../src/simulation/simFleet";
import { Deployment } from "../src/tools/deployment";
import { EnvelopeCodec } from "../src/rpc/envelopeCodec";

const readDeployment = (name: string): Deployment => {
  const checked = Deployment.check(
    JSON.parse(fs.readFileSync(path.join(__dirname, `../../deploy/${name}.json`), "utf8")),
  );
  if (!checked.ok) throw new Error(JSON.stringify(checked.fault));
  return checked.value;
};

test("every deployment file in deploy/ is valid", () => {
  for (const name of ["small", "sim", "kiln-commons", "karri-gridsense"])
    expect(readDeployment(name).cluster).toBe(name);
});
test("the check of settings names each unknown, malformed or missing key, and its error", () => {
  const checked = Settings.check({
    program: "store",
    cluster: "c",
    district: "d",
    address: "here",
    http: "127.0.0.1:2",
    seeds: [],
    colour: 1,
  });
  expect(checked.ok === false && checked.fault.tag === "invalid" && checked.fault.paths).toEqual(
    expect.arrayContaining([
      expect.stringMatching(/^colour: unknown key/),
      expect.stringMatching(/^address: /),
      expect.stringMatching(/^seeds: /),
      expect.stringMatching(/^data: missing/),
    ]),
  );
});
test("a process exits with 2 and names the key on wrong settings or flags; it rejects a data folder that another node owns or uses", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-cli-"));
  const run = (...args: string[]): { status: number | null; stderr: string } => {
    const ended = spawnSync(process.execPath, [path.join(__dirname, "../src/main.js"), ...args], {
      encoding: "utf8",
      timeout: 60_000,
    });
    return { status: ended.status, stderr: ended.stderr };
  };
  const file = path.join(folder, "store.json");
  fs.writeFileSync(
    file,
    JSON.stringify({
      program: "store",
      cluster: "c",
      district: "d",
      address: "127.0.0.1:1",
      http: "127.0.0.1:2",
      seeds: ["127.0.0.1:1"],
      data: folder,
      sead: 3, // a misspelt key
    }),
  );
  expect(run("store", "--settings", file)).toMatchObject({
    status: 2,
    stderr: expect.stringContaining("sead: unknown key"),
  });
  expect(run("check", file).status).toBe(2);
  expect(run("store", "--colour", "red")).toMatchObject({ status: 2, stderr: expect.stringContaining("--colour") });
  expect(run("sim", path.join(__dirname, "../../deploy/sim.json"), "--scenario", "nonesuch")).toMatchObject({
    status: 2,
    stderr: expect.stringContaining("freeze-store"),
  });
  expect(
    run("sim", path.join(__dirname, "../../deploy/sim.json"), "--scenario", "kill-at-point", "--point", "99"),
  ).toMatchObject({ status: 2, stderr: expect.stringContaining("41 ") });
  const data = path.join(folder, "data");
  fs.mkdirSync(data);
  fs.writeFileSync(path.join(data, "identity"), JSON.stringify({ id: "x", cluster: "another", program: "store" }));
  expect(
    run(
      "store",
      "--cluster",
      "c",
      "--district",
      "d",
      "--address",
      "127.0.0.1:1",
      "--http",
      "127.0.0.1:2",
      "--seeds",
      "127.0.0.1:1",
      "--data",
      data,
    ),
  ).toMatchObject({ status: 2, stderr: expect.stringContaining("another") });
  // The lock file of this folder names a running process, by the PID and start time of this test, and another address.
  const used = path.join(folder, "used");
  fs.mkdirSync(used);
  const stat = fs.readFileSync(`/proc/${process.pid}/stat`, "utf8");
  const startTime = stat.slice(stat.lastIndexOf(")") + 2).split(" ")[19];
  fs.writeFileSync(path.join(used, "lock"), `${process.pid} ${startTime} 127.0.0.1:3\n`);
  const storeArgs = [
    "store",
    "--cluster",
    "c",
    "--district",
    "d",
    "--address",
    "127.0.0.1:1",
    "--http",
    "127.0.0.1:2",
    "--seeds",
    "127.0.0.1:1",
    "--data",
    used,
  ];
  expect(run(...storeArgs)).toMatchObject({ status: 1, stderr: expect.stringContaining("is in use by process") });
  fs.rmSync(folder, { recursive: true, force: true });
}, 60_000);
test("a late outcome is dropped, because its slot has another generation", () => {
  const requestTable = new RequestTable<string>(1);
  const delivered: string[] = [];
  const first = requestTable.open((outcome) => delivered.push(`first ${outcome}`))!;
  expect(requestTable.open(() => undefined)).toBeUndefined();
  requestTable.cancel(first);
  const second = requestTable.open((outcome) => delivered.push(`second ${outcome}`))!;
  expect(requestTable.complete(first, "late")).toBe(false);
  expect(requestTable.complete(second, "mine")).toBe(true);
  expect(requestTable.complete(second, "again")).toBe(false);
  expect(delivered).toEqual(["second mine"]);
  expect(requestTable.lateOutcomes).toBe(2);
});
test("a long body is deflated, and a shared one encodes the same again; decoding restores it, but not if truncated", () => {
  const message = { kind: "request" as const, correlationId: 7, cluster: "a", method: "v", sender: "s" };
  for (const length of [10, 1500, 100_000]) {
    const body = EnvelopeCodec.preEncode({
      text: Array.from({ length }, (_unused, index) => index.toString(36)).join(""),
    });
    const encoded = EnvelopeCodec.encode({ ...message, body });
    expect(encoded.length < JSON.stringify(body).length).toBe(length > 10);
    expect(EnvelopeCodec.encode({ ...message, body }).equals(encoded)).toBe(true);
    expect(EnvelopeCodec.decode(encoded, "a")).toMatchObject({ correlationId: 7, body });
    expect(EnvelopeCodec.decode(encoded.subarray(0, encoded.length - 1), "a")).toBeUndefined();
  }
});
test("malformed messages and those of another cluster are not decoded", () => {
  const valid = EnvelopeCodec.encode({
    kind: "request",
    correlationId: 7,
    cluster: "a",
    method: "v",
    sender: "s",
    body: { x: [1] },
  });
  expect(EnvelopeCodec.decode(valid, "a")).toMatchObject({ correlationId: 7, method: "v", body: { x: [1] } });
  expect(EnvelopeCodec.decode(valid, "b")).toBeUndefined();
  for (let length = 0; length < valid.length; length += 1)
    expect(EnvelopeCodec.decode(valid.subarray(0, length), "a")).toBeUndefined();
  expect(EnvelopeCodec.decode(Buffer.from("GET / HTTP/1.1\r\n\r\n"), "a")).toBeUndefined();
});

test("the HTTP surface serves operators and callers, and rejects bad input without any change", async () => {
  const fleet = new SimFleet(readDeployment("small"), 11);
  await fleet.boot();
  const ingress = fleet.plan.ingressHttp[0];
  const send = async (
    method: string,
    target: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address = ingress,
  ): Promise<{ status: number; body: any }> => {
    const response = await fleet.send(method, target, body, headers, address);
    if (!response) throw new Error(`no response to ${method} ${target}`);
    return response;
  };
  const version = (await send("GET", "/v1/manifest")).body.version;
  // Bad input from operators.
  expect((await send("PUT", "/v1/manifest", { bindings: {} })).status).toBe(428);
  const invalid = await send(
    "PUT",
    "/v1/manifest",
    { bindings: { a: { kind: "lookup", pool: 3, path: "x" }, b: { kind: "magic", pool: "p", path: "/" } }, extra: 1 },
    { "if-match": `"${version}"` },
  );
  expect(invalid.status).toBe(400);
  expect(invalid.body.paths).toEqual(
    expect.arrayContaining([
      expect.stringMatching(/^\/bindings\/a\/pool/),
      expect.stringMatching(/^\/bindings\/a\/path/),
      expect.stringMatching(/^\/bindings\/b\/kind/),
      expect.stringMatching(/extra/),
    ]),
  );
  expect((await send("PUT", "/v1/policies", [{ match: {} }], { "if-match": '"1"' })).status).toBe(400);
  expect(
    (
      await send(
        "PUT",
        "/v1/calendar/m",
        { due: "someday", move: { kind: "drain", district: "north" } },
        { "if-match": '"0"' },
      )
    ).status,
  ).toBe(400);
  expect(
    (await send("PUT", "/v1/calendar/m", { due: "now", move: { kind: "drain" } }, { "if-match": '"0"' })).status,
  ).toBe(400);
  expect(
    (await send("PUT", "/v1/manifest", fleet.deployment.manifest, { "if-match": '"0"', "x-change-id": "stale" }))
      .status,
  ).toBe(412);
  expect((await send("GET", "/v1/manifest")).body.version).toBe(version);
  // The outcome of a change can be looked up by its id, and a retry with the same id is the same change.
  const doc = { ...fleet.deployment.manifest };
  const first = await send("PUT", "/v1/manifest", doc, { "if-match": `"${version}"`, "x-change-id": "once" });
  const retried = await send("PUT", "/v1/manifest", doc, { "if-match": `"${version}"`, "x-change-id": "once" });
  expect([first.status, first.body.version, retried.status, retried.body.version]).toEqual([
    200,
    version + 1,
    200,
    version + 1,
  ]);
  expect((await send("GET", "/v1/changes/once")).body).toEqual({ tag: "done", version: version + 1 });
  expect((await send("GET", "/v1/changes/stale")).body.tag).toBe("conflict");
  expect((await send("GET", "/v1/changes/never")).status).toBe(404);
  // Bad input from callers.
  expect((await send("POST", "/v1/requests/nonesuch", {})).status).toBe(404);
  expect((await send("POST", "/v1/requests/status", [1])).status).toBe(400);
  expect((await send("POST", "/v1/requests/status", { q: "x".repeat(1_100_000) })).status).toBe(413);
  const rawClient = fleet.world.start("raw", fleet.disks.get("store-1")!);
  for (const target of ["/v1/requests/status", "/v1/requests/confirm", "/v1/lots"]) {
    const response = await fleet.world.runTask(
      rawClient,
      () => rawClient.env.httpRequest(ingress, { method: "POST", path: target, body: "{", timeoutMs: 1000 }),
      2000,
    );
    expect(response?.ok && response.value.status).toBe(400);
  }
  expect((await send("PATCH", "/v1/lots", {})).status).toBe(405);
  expect((await send("GET", "/v1/nothing")).status).toBe(404);
  expect((await send("GET", "/v1/lots/none")).status).toBe(404);
  expect((await send("GET", "/v1/lots/none/results")).status).toBe(404);
  expect((await send("POST", "/v1/lots/none/end", {})).status).toBe(404);
  expect((await send("POST", "/v1/lots", { binding: "confirm", items: [] })).status).toBe(400);
  expect((await send("POST", "/v1/lots", { binding: "ask", items: [1] })).status).toBe(400);
  expect((await send("GET", "/v1/streams/none")).status).toBe(404);
  expect((await send("GET", "/v1/streams/none", undefined, { "last-event-id": "x" })).status).toBe(400);
  expect(
    (await send("PUT", "/v1/replicas/r", { address: "nowhere", pool: "p", district: "d", capacity: 0 })).status,
  ).toBe(400);
  // An idempotency key makes a retry at another ingress return the first response.
  const key = { "idempotency-key": "k1" };
  const original = await send("POST", "/v1/requests/confirm", { q: 1 }, key);
  const repeated = await send("POST", "/v1/requests/confirm", { q: 1 }, key, fleet.plan.ingressHttp[1]);
  expect([original.status, repeated.status, repeated.body]).toEqual([200, 200, original.body]);
  expect((await send("POST", "/v1/requests/confirm", { q: 2 }, key)).status).toBe(422);
  // A batch job is submitted once; its results are read by position, and the ledger explains it.
  expect((await send("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 3] })).status).toBe(202);
  expect((await send("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 3] })).status).toBe(200);
  expect((await send("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 4] })).status).toBe(422);
  await fleet.run(3000);
  const all = await send("GET", "/v1/lots/L1/results");
  expect(all.body.results.map((result: { position: number }) => result.position)).toEqual([1, 2, 3]);
  expect(all.body.finished).toBe(true);
  const rest = await send("GET", `/v1/lots/L1/results?after=2`, undefined, {}, fleet.plan.ingressHttp[1]);
  expect(rest.body.results).toEqual(all.body.results.slice(2));
  const why = await send("GET", "/v1/why/L1");
  expect(why.body.entries.map((entry: { decision: string }) => entry.decision)).toEqual(
    expect.arrayContaining(["accepted with 3 items for confirm", "result marked done"]),
  );
  expect(why.body.because.some((entry: { subject: string }) => entry.subject === "manifest")).toBe(true);
  expect((await send("GET", "/v1/why/nothing-at-all")).status).toBe(404);
  const acceptedAt = +why.body.entries[0].stamp.split("~")[0];
  expect((await send("GET", `/v1/at/lot%20L1?time=${acceptedAt}`)).body.version.decision).toBe(
    "accepted with 3 items for confirm",
  );
  const inFuture = await send("GET", `/v1/at/lot%20L1?time=${acceptedAt + 60_000}&waitMs=100`);
  expect([inFuture.status, inFuture.body.code]).toEqual([503, "busy"]);
  // A batch job is finished even if its route is removed in the meantime.
  expect(
    (
      await send("POST", "/v1/lots", {
        id: "L2",
        binding: "confirm",
        items: Array.from({ length: 60 }, (_unused, index) => index),
      })
    ).status,
  ).toBe(202);
  const { confirm: _removed, ...otherRoutes } = (await send("GET", "/v1/manifest")).body.doc.bindings;
  expect(
    (await send("PUT", "/v1/manifest", { bindings: otherRoutes }, { "if-match": `"${version + 1}"` })).status,
  ).toBe(200);
  await fleet.run(8000);
  expect((await send("GET", "/v1/lots/L2/results?limit=2000")).body).toMatchObject({ finished: true, next: 60 });
  // Malformed datagrams and messages are dropped, and the process that receives them keeps running.
  const stranger = fleet.world.start("stranger", fleet.disks.get("store-1")!);
  const receiver = fleet.plan.processes[0].settings.address;
  await fleet.world.runTask(
    stranger,
    function* () {
      const socket = yield* stranger.env.bindDatagrams("127.0.0.1:9");
      if (socket.ok) for (const junk of ["", "junk", "\u0000\u0001"]) socket.value.send(receiver, Buffer.from(junk));
      const link = yield* stranger.env.connect(receiver, 500);
      if (link.ok) link.value.send(Buffer.from("junk"));
      return true;
    },
    2000,
  );
  await fleet.run(1000);
  expect((await send("GET", "/livez", undefined, {}, fleet.plan.processes[0].settings.http)).status).toBe(200);
  fleet.notes.length = 0;
  expect(await fleet.stopAndCheck()).toEqual([]);
}, 120_000);
