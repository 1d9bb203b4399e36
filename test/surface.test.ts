import { spawnSync } from "child_process";
import * as fs from "fs";
import * as os from "os";
import * as path from "path";
import { Settings } from "../src/common/settings";
import { RequestTable } from "../src/ingress/requestTable";
import { SimFleet } from "../src/simulation/simFleet";
import { Deployment } from "../src/tools/deployment";
import { EnvelopeCodec } from "../src/rpc/envelopeCodec";

const deployment = (name: string): Deployment => {
  const read = Deployment.check(JSON.parse(fs.readFileSync(path.join(__dirname, `../../deploy/${name}.json`), "utf8")));
  if (!read.ok) throw new Error(JSON.stringify(read.fault));
  return read.value;
};

test("every deployment kept here is well", () => {
  for (const name of ["small", "sim", "kiln-commons", "karri-gridsense"]) expect(deployment(name).cluster).toBe(name);
});
test("unknown and mistyped settings name the key and what was expected", () => {
  const wrong = Settings.check({
    program: "store",
    cluster: "c",
    district: "d",
    address: "here",
    http: "127.0.0.1:2",
    seeds: [],
    colour: 1,
  });
  expect(wrong.ok === false && wrong.fault.tag === "invalid" && wrong.fault.paths).toEqual(
    expect.arrayContaining([
      expect.stringMatching(/^colour: unknown key/),
      expect.stringMatching(/^address: /),
      expect.stringMatching(/^seeds: /),
      expect.stringMatching(/^data: missing/),
    ]),
  );
});
test("a process with wrong settings or flags does not start: exit 2 and the key; a folder of another node is refused", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "petrelbeam-cli-"));
  const run = (...words: string[]): { status: number | null; err: string } => {
    const done = spawnSync(process.execPath, [path.join(__dirname, "../src/main.js"), ...words], {
      encoding: "utf8",
      timeout: 60_000,
    });
    return { status: done.status, err: done.stderr };
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
      sead: 3,
    }),
  );
  expect(run("store", "--settings", file)).toMatchObject({
    status: 2,
    err: expect.stringContaining("sead: unknown key"),
  });
  expect(run("check", file).status).toBe(2);
  expect(run("store", "--colour", "red")).toMatchObject({ status: 2, err: expect.stringContaining("--colour") });
  expect(run("sim", path.join(__dirname, "../../deploy/sim.json"), "--scenario", "nonesuch")).toMatchObject({
    status: 2,
    err: expect.stringContaining("freeze-store"),
  });
  expect(
    run("sim", path.join(__dirname, "../../deploy/sim.json"), "--scenario", "kill-at-point", "--point", "99"),
  ).toMatchObject({ status: 2, err: expect.stringContaining("41 ") });
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
  ).toMatchObject({ status: 2, err: expect.stringContaining("another") });
  // a folder that a living process holds: this test's own number and start time stand in it, and another address
  const used = path.join(folder, "used");
  fs.mkdirSync(used);
  const stat = fs.readFileSync(`/proc/${process.pid}/stat`, "utf8");
  const startTime = stat.slice(stat.lastIndexOf(")") + 2).split(" ")[19];
  fs.writeFileSync(path.join(used, "lock"), `${process.pid} ${startTime} 127.0.0.1:3\n`);
  const store = [
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
  expect(run(...store)).toMatchObject({ status: 1, err: expect.stringContaining("is in use by process") });
  fs.rmSync(folder, { recursive: true, force: true });
}, 60_000);
test("a reply that comes late finds another generation in its slot and reaches nobody", () => {
  const requestTable = new RequestTable<string>(1);
  const got: string[] = [];
  const first = requestTable.open((outcome) => got.push(`first ${outcome}`))!;
  expect(requestTable.open(() => undefined)).toBeUndefined();
  requestTable.cancel(first);
  const second = requestTable.open((outcome) => got.push(`second ${outcome}`))!;
  expect(requestTable.complete(first, "late")).toBe(false);
  expect(requestTable.complete(second, "mine")).toBe(true);
  expect(requestTable.complete(second, "again")).toBe(false);
  expect(got).toEqual(["second mine"]);
  expect(requestTable.lateOutcomes).toBe(2);
});
test("a long body is deflated, written once for several members, and comes back as it was; a cut one is not decoded", () => {
  const message = { kind: "request" as const, correlationId: 7, cluster: "a", method: "v", sender: "s" };
  for (const length of [10, 1500, 100_000]) {
    const body = EnvelopeCodec.preEncode({ text: Array.from({ length }, (_each, at) => at.toString(36)).join("") });
    const snapshot = EnvelopeCodec.encode({ ...message, body });
    expect(snapshot.length < JSON.stringify(body).length).toBe(length > 10);
    expect(EnvelopeCodec.encode({ ...message, body }).equals(snapshot)).toBe(true);
    expect(EnvelopeCodec.decode(snapshot, "a")).toMatchObject({ correlationId: 7, body });
    expect(EnvelopeCodec.decode(snapshot.subarray(0, snapshot.length - 1), "a")).toBeUndefined();
  }
});
test("malformed and foreign messages are not decoded", () => {
  const good = EnvelopeCodec.encode({
    kind: "request",
    correlationId: 7,
    cluster: "a",
    method: "v",
    sender: "s",
    body: { x: [1] },
  });
  expect(EnvelopeCodec.decode(good, "a")).toMatchObject({ correlationId: 7, method: "v", body: { x: [1] } });
  expect(EnvelopeCodec.decode(good, "b")).toBeUndefined();
  for (let at = 0; at < good.length; at += 1) expect(EnvelopeCodec.decode(good.subarray(0, at), "a")).toBeUndefined();
  expect(EnvelopeCodec.decode(Buffer.from("GET / HTTP/1.1\r\n\r\n"), "a")).toBeUndefined();
});

test("the HTTP surface: good paths, and bad input that changes nothing", async () => {
  const fleet = new SimFleet(deployment("small"), 11);
  await fleet.boot();
  const ingress = fleet.plan.ingressHttp[0];
  const ask = async (
    method: string,
    path_: string,
    body?: unknown,
    headers: Record<string, string> = {},
    address = ingress,
  ): Promise<{ status: number; body: any }> => {
    const said = await fleet.send(method, path_, body, headers, address);
    if (!said) throw new Error(`no answer to ${method} ${path_}`);
    return said;
  };
  const version = (await ask("GET", "/v1/manifest")).body.version;
  // operators' bad input
  expect((await ask("PUT", "/v1/manifest", { bindings: {} })).status).toBe(428);
  const wrong = await ask(
    "PUT",
    "/v1/manifest",
    { bindings: { a: { kind: "lookup", pool: 3, path: "x" }, b: { kind: "magic", pool: "p", path: "/" } }, extra: 1 },
    { "if-match": `"${version}"` },
  );
  expect(wrong.status).toBe(400);
  expect(wrong.body.paths).toEqual(
    expect.arrayContaining([
      expect.stringMatching(/^\/bindings\/a\/pool/),
      expect.stringMatching(/^\/bindings\/a\/path/),
      expect.stringMatching(/^\/bindings\/b\/kind/),
      expect.stringMatching(/extra/),
    ]),
  );
  expect((await ask("PUT", "/v1/policies", [{ match: {} }], { "if-match": '"1"' })).status).toBe(400);
  expect(
    (
      await ask(
        "PUT",
        "/v1/calendar/m",
        { due: "someday", move: { kind: "drain", district: "north" } },
        { "if-match": '"0"' },
      )
    ).status,
  ).toBe(400);
  expect(
    (await ask("PUT", "/v1/calendar/m", { due: "now", move: { kind: "drain" } }, { "if-match": '"0"' })).status,
  ).toBe(400);
  expect(
    (await ask("PUT", "/v1/manifest", fleet.deployment.manifest, { "if-match": '"0"', "x-change-id": "stale" })).status,
  ).toBe(412);
  expect((await ask("GET", "/v1/manifest")).body.version).toBe(version);
  // a change is asked after by its id, and a repeat of it is the same change
  const doc = { ...fleet.deployment.manifest };
  const first = await ask("PUT", "/v1/manifest", doc, { "if-match": `"${version}"`, "x-change-id": "once" });
  const again = await ask("PUT", "/v1/manifest", doc, { "if-match": `"${version}"`, "x-change-id": "once" });
  expect([first.status, first.body.version, again.status, again.body.version]).toEqual([
    200,
    version + 1,
    200,
    version + 1,
  ]);
  expect((await ask("GET", "/v1/changes/once")).body).toEqual({ tag: "done", version: version + 1 });
  expect((await ask("GET", "/v1/changes/stale")).body.tag).toBe("conflict");
  expect((await ask("GET", "/v1/changes/never")).status).toBe(404);
  // callers' bad input
  expect((await ask("POST", "/v1/requests/nonesuch", {})).status).toBe(404);
  expect((await ask("POST", "/v1/requests/status", [1])).status).toBe(400);
  expect((await ask("POST", "/v1/requests/status", { q: "x".repeat(1_100_000) })).status).toBe(413);
  const raw = fleet.world.start("raw", fleet.disks.get("store-1")!);
  for (const path_ of ["/v1/requests/status", "/v1/requests/confirm", "/v1/lots"]) {
    const notJson = await fleet.world.runTask(
      raw,
      () => raw.env.httpRequest(ingress, { method: "POST", path: path_, body: "{", timeoutMs: 1000 }),
      2000,
    );
    expect(notJson?.ok && notJson.value.status).toBe(400);
  }
  expect((await ask("PATCH", "/v1/lots", {})).status).toBe(405);
  expect((await ask("GET", "/v1/nothing")).status).toBe(404);
  expect((await ask("GET", "/v1/lots/none")).status).toBe(404);
  expect((await ask("GET", "/v1/lots/none/results")).status).toBe(404);
  expect((await ask("POST", "/v1/lots/none/end", {})).status).toBe(404);
  expect((await ask("POST", "/v1/lots", { binding: "confirm", items: [] })).status).toBe(400);
  expect((await ask("POST", "/v1/lots", { binding: "ask", items: [1] })).status).toBe(400);
  expect((await ask("GET", "/v1/streams/none")).status).toBe(404);
  expect((await ask("GET", "/v1/streams/none", undefined, { "last-event-id": "x" })).status).toBe(400);
  expect(
    (await ask("PUT", "/v1/replicas/r", { address: "nowhere", pool: "p", district: "d", capacity: 0 })).status,
  ).toBe(400);
  // keys
  const key = { "idempotency-key": "k1" };
  const one = await ask("POST", "/v1/requests/confirm", { q: 1 }, key);
  const two = await ask("POST", "/v1/requests/confirm", { q: 1 }, key, fleet.plan.ingressHttp[1]);
  expect([one.status, two.status, two.body]).toEqual([200, 200, one.body]);
  expect((await ask("POST", "/v1/requests/confirm", { q: 2 }, key)).status).toBe(422);
  // a lot, its results by cursor, the same in both modes, and why
  expect((await ask("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 3] })).status).toBe(202);
  expect((await ask("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 3] })).status).toBe(200);
  expect((await ask("POST", "/v1/lots", { id: "L1", binding: "confirm", items: [1, 2, 4] })).status).toBe(422);
  await fleet.run(3000);
  const all = await ask("GET", "/v1/lots/L1/results");
  expect(all.body.results.map((result: { position: number }) => result.position)).toEqual([1, 2, 3]);
  expect(all.body.finished).toBe(true);
  const rest = await ask("GET", `/v1/lots/L1/results?after=2`, undefined, {}, fleet.plan.ingressHttp[1]);
  expect(rest.body.results).toEqual(all.body.results.slice(2));
  const why = await ask("GET", "/v1/why/L1");
  expect(why.body.entries.map((entry: { decision: string }) => entry.decision)).toEqual(
    expect.arrayContaining(["accepted with 3 items for confirm", "result marked done"]),
  );
  expect(why.body.because.some((entry: { subject: string }) => entry.subject === "manifest")).toBe(true);
  expect((await ask("GET", "/v1/why/nothing-at-all")).status).toBe(404);
  const accepted = +why.body.entries[0].stamp.split("~")[0];
  expect((await ask("GET", `/v1/at/lot%20L1?time=${accepted}`)).body.version.decision).toBe(
    "accepted with 3 items for confirm",
  );
  const beyond = await ask("GET", `/v1/at/lot%20L1?time=${accepted + 60_000}&waitMs=100`);
  expect([beyond.status, beyond.body.code]).toEqual([503, "busy"]);
  // a lot outlives its binding
  expect(
    (
      await ask("POST", "/v1/lots", {
        id: "L2",
        binding: "confirm",
        items: Array.from({ length: 60 }, (_each, at) => at),
      })
    ).status,
  ).toBe(202);
  const { confirm: _gone, ...others } = (await ask("GET", "/v1/manifest")).body.doc.bindings;
  expect((await ask("PUT", "/v1/manifest", { bindings: others }, { "if-match": `"${version + 1}"` })).status).toBe(200);
  await fleet.run(8000);
  expect((await ask("GET", "/v1/lots/L2/results?limit=2000")).body).toMatchObject({ finished: true, next: 60 });
  // a foreign datagram and a foreign frame are dropped, and nothing falls
  const stranger = fleet.world.start("stranger", fleet.disks.get("store-1")!);
  const to = fleet.plan.processes[0].settings.address;
  await fleet.world.runTask(
    stranger,
    function* () {
      const socket = yield* stranger.env.bindDatagrams("127.0.0.1:9");
      if (socket.ok) for (const junk of ["", "junk", "\u0000\u0001"]) socket.value.send(to, Buffer.from(junk));
      const link = yield* stranger.env.connect(to, 500);
      if (link.ok) link.value.send(Buffer.from("junk"));
      return true;
    },
    2000,
  );
  await fleet.run(1000);
  expect((await ask("GET", "/livez", undefined, {}, fleet.plan.processes[0].settings.http)).status).toBe(200);
  fleet.notes.length = 0;
  expect(await fleet.stopAndCheck()).toEqual([]);
}, 120_000);
