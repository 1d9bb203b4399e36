import { ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});
const putConfiguration = async (fleet: ControlFleet, version: number, ifVersion: number): Promise<number> =>
  (await fleet.send("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;

describe("operator interface", () => {
  const route = (overrides: Record<string, unknown> = {}): any => ({
    kind: "lookup",
    pool: "p",
    path: "/",
    safe: true,
    deadlineMs: 1000,
    continues: "no",
    prefixBytes: 0,
    ...overrides,
  });
  test("accepts configuration versions, patches, drains and retirements", async () => {
    const fleet = new ControlFleet(9, { controls: 4, stores: 4 });
    await fleet.run(6000);
    const patch = (body: unknown, ifVersion: number): Promise<{ status: number; body: any }> =>
      fleet.send("PATCH", "/v1/manifest", body, { "if-match": String(ifVersion) });
    expect(await putConfiguration(fleet, 7, 0)).toBe(200);
    expect((await fleet.send("PUT", "/v1/manifest", { bindings: {} }, { "if-match": "7" })).body.version).toBe(8);
    expect((await patch({ version: 8, upsert: { bindings: { b: route() } } }, 8)).status).toBe(400);
    expect(
      (await patch({ version: 20, upsert: { bindings: { b: route() }, pools: { p: { connections: 5 } } } }, 8)).body
        .version,
    ).toBe(20);
    expect((await patch({ remove: { pools: ["p"] } }, 20)).status).toBe(400);
    expect((await patch({ colour: 1 }, 20)).body.paths).toEqual([
      expect.stringMatching(/colour: must NOT have additional properties/),
    ]);
    const read = (await fleet.send("GET", "/v1/manifest")).body;
    expect([read.version, Object.keys(read.doc.bindings), read.doc.pools]).toEqual([
      20,
      ["b"],
      { p: { connections: 5 } },
    ]);
    expect((await fleet.send("POST", "/v1/districts/north/drain")).status).toBe(200);
    expect((await fleet.send("POST", "/v1/districts/north/drain")).status).toBe(200);
    await fleet.run(600);
    expect(fleet.control("control-2")!.node.snapshot().control!.drained).toEqual(["north"]);
    expect((await fleet.send("DELETE", "/v1/districts/north/drain")).status).toBe(200);
    await fleet.run(2500);
    expect(fleet.control("control-2")!.node.snapshot().control!.drained).toEqual([]);
    const operations = (await fleet.send("GET", "/v1/calendar")).body.entries.map(
      (entry: any) => `${entry.move.kind} ${entry.fate}`,
    );
    expect(operations).toEqual(["drain finished", "undrain finished"]);
    expect((await fleet.send("POST", "/v1/stores/nobody/retirement")).status).toBe(404);
    expect((await fleet.send("GET", "/v1/stores/store-1/retirement")).status).toBe(404);
    expect((await fleet.send("POST", "/v1/stores/store-1/retirement")).status).toBe(200);
    expect((await fleet.send("POST", "/v1/stores/store-2/retirement")).status).toBe(409);
    expect(
      await fleet.until(
        async () => (await fleet.send("GET", "/v1/stores/store-1/retirement")).body.fate === "finished",
        15_000,
        100,
      ),
    ).toBeDefined();
    const retired = fleet.running.get("store-1") as unknown as { node: { self: { id: string } } };
    for (const view of Object.values(fleet.control(fleet.leader()!)!.group.state.views)) {
      expect(view.members).toHaveLength(3);
      expect(view.members).not.toContain(retired.node.self.id);
    }
    expect(fleet.close()).toEqual([]);
  });
});
