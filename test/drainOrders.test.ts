import { Constants } from "../src/common/constants";
import { Command } from "../src/controlState/command";
import { ControlRequest } from "../src/node/controlRequest";
import { Rpc } from "../src/rpc/rpc";
import { OperatorResponse, ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});

describe("drain orders", () => {
  const httpAddress = (fleet: ControlFleet, name: string): string => fleet.settings.get(name)!.http;
  const drained = (fleet: ControlFleet): string[] => fleet.control(fleet.leader()!)!.group.state.drained;
  const order = (
    fleet: ControlFleet,
    method: string,
    name = "control-1",
    changeId?: string,
  ): Promise<OperatorResponse> =>
    fleet.send(
      method,
      "/v1/districts/north/drain",
      undefined,
      changeId ? { "x-change-id": changeId } : {},
      httpAddress(fleet, name),
    );
  test("a late retry of a drain that was reversed drains nothing, and a new drain is accepted while its caller still retries", async () => {
    const fleet = new ControlFleet(3, { controls: 4 });
    await fleet.run(3000);
    expect((await order(fleet, "POST")).status).toBe(200);
    const acceptedAt = fleet.world.now;
    await fleet.run(500);
    expect((await order(fleet, "DELETE", "control-2")).status).toBe(200);
    for (const name of fleet.names("control")) {
      expect((await order(fleet, "POST", name)).status).toBe(503);
      expect(drained(fleet)).toEqual([]);
    }
    // The undrain is still the newest order, so a retry of it is acknowledged again.
    expect((await order(fleet, "DELETE", "control-3")).status).toBe(200);
    const from = fleet.world.now;
    expect(await fleet.until(async () => (await order(fleet, "POST")).status === 200, 10_000, 100)).toBeDefined();
    expect(fleet.world.now - acceptedAt).toBeGreaterThanOrEqual(Constants.orderRetryWindowMs);
    expect(fleet.world.now - from).toBeLessThan(Constants.orderRetryWindowMs);
    expect(drained(fleet)).toEqual(["north"]);
    // A retry of the undrain after that drain does not reverse it.
    expect((await order(fleet, "DELETE")).status).toBe(503);
    expect(drained(fleet)).toEqual(["north"]);
    expect(fleet.close()).toEqual([]);
  });
  test("a retry of an order with an id gets the first outcome, and an order with another id is accepted at once", async () => {
    const fleet = new ControlFleet(4, { controls: 4 });
    await fleet.run(3000);
    expect((await order(fleet, "POST", "control-1", "one")).status).toBe(200);
    expect((await order(fleet, "DELETE", "control-1", "two")).status).toBe(200);
    expect((await order(fleet, "POST", "control-2", "one")).status).toBe(200);
    expect(drained(fleet)).toEqual([]);
    expect((await order(fleet, "POST", "control-2", "three")).status).toBe(200);
    expect(drained(fleet)).toEqual(["north"]);
    expect(fleet.close()).toEqual([]);
  });
  test("an order that a frozen node reads only after its caller has given up is not carried out", async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const name = fleet.names("control").find((each) => each !== fleet.leader())!;
      const frozen = fleet.world.processes.get(name)!;
      frozen.freeze();
      const { env } = fleet.operator;
      const lost = await fleet.world.runTask(
        fleet.operator,
        () =>
          env.httpRequest(httpAddress(fleet, name), {
            method: "POST",
            path: "/v1/districts/north/drain",
            timeoutMs: 1000,
          }),
        2000,
      );
      expect(lost?.ok).toBe(false);
      await fleet.run(20_000);
      frozen.resume();
      await fleet.run(6000);
      expect([seed, drained(fleet)]).toEqual([seed, []]);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("the leader appends no order after its caller's deadline, and rejects a deadline given by another process's clock", async () => {
    const fleet = new ControlFleet(5, { controls: 4 });
    await fleet.run(3000);
    const [rpc, leader] = [new Rpc(fleet.operator.env, "test", "asker"), fleet.leader()!];
    const call = (body: ControlRequest): Promise<any> =>
      fleet.world.runTask(
        fleet.operator,
        () => rpc.call(fleet.settings.get(leader)!.address, "control.op", body, 2000),
        3000,
      );
    const command: Command = { tag: "drain", changeId: "c", district: "north", by: "ann", at: 0 };
    const { clockId, now } = (await call({ op: "clock" })).value;
    await fleet.run(1000);
    const late = await call({ op: "change", command, deadline: { clockId, at: now + 900 } });
    expect(late).toMatchObject({ ok: false, fault: { tag: "late" } });
    const foreign = await call({ op: "change", command, deadline: { clockId: "another", at: now + 90_000 } });
    expect(foreign).toMatchObject({ ok: false, fault: { tag: "late" } });
    expect(drained(fleet)).toEqual([]);
    expect(await call({ op: "change", command, deadline: { clockId, at: now + 9000 } })).toMatchObject({ ok: true });
    expect(fleet.close()).toEqual([]);
  });
  test("a leader that restarts at the same address accepts orders from nodes that knew its former clock", async () => {
    const fleet = new ControlFleet(6, { controls: 4 });
    await fleet.run(3000);
    for (let round = 0; round < 3; round += 1) {
      const leader = fleet.leader()!;
      const other = fleet.names("control").find((name) => name !== leader)!;
      expect(
        (
          await fleet.send(
            "PUT",
            "/v1/manifest",
            configuration(round + 1),
            { "if-match": String(round) },
            httpAddress(fleet, other),
          )
        ).status,
      ).toBe(200);
      fleet.kill(leader);
      fleet.restart(leader);
      await fleet.run(4000);
    }
    expect(fleet.close()).toEqual([]);
  });
});
