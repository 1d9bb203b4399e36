import { Constants } from "../src/common/constants";
import { Command, Outcome } from "../src/controlState/command";
import { ControlState } from "../src/controlState/controlState";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";
import { Fault } from "../src/common/fault";
import { Csp, Task } from "../src/runtime/csp";
import { EnvTools } from "../src/runtime/env";
import { ControlRequest } from "../src/node/controlRequest";
import { Rpc } from "../src/rpc/rpc";
import { Answer, ControlFleet } from "./controlFleet";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});
const founded = (): ControlState => {
  const state = ControlState.empty();
  ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
  return state;
};

describe("orders that name no version", () => {
  const at = (fleet: ControlFleet, name: string): string => fleet.settings.get(name)!.http;
  const drained = (fleet: ControlFleet): string[] => fleet.control(fleet.leader()!)!.group.state.drained;
  const order = (fleet: ControlFleet, method: string, name = "control-1", changeId?: string): Promise<Answer> =>
    fleet.ask(
      method,
      "/v1/districts/north/drain",
      undefined,
      changeId ? { "x-change-id": changeId } : {},
      at(fleet, name),
    );
  test("a drain sent again after its undrain drains nothing; a new one is taken while its caller still sends", async () => {
    const fleet = new ControlFleet(3, { controls: 4 });
    await fleet.run(3000);
    expect((await order(fleet, "POST")).status).toBe(200);
    const takenAt = fleet.world.now;
    await fleet.run(500);
    expect((await order(fleet, "DELETE", "control-2")).status).toBe(200);
    for (const name of fleet.names("control")) {
      expect((await order(fleet, "POST", name)).status).toBe(503);
      expect(drained(fleet)).toEqual([]);
    }
    // the undrain is still the newest order, and is acknowledged again
    expect((await order(fleet, "DELETE", "control-3")).status).toBe(200);
    const from = fleet.world.now;
    expect(await fleet.until(async () => (await order(fleet, "POST")).status === 200, 10_000, 100)).toBeDefined();
    expect(fleet.world.now - takenAt).toBeGreaterThanOrEqual(Constants.orderResendMs);
    expect(fleet.world.now - from).toBeLessThan(Constants.orderResendMs);
    expect(drained(fleet)).toEqual(["north"]);
    // and an undrain sent again after that drain gives nothing back
    expect((await order(fleet, "DELETE")).status).toBe(503);
    expect(drained(fleet)).toEqual(["north"]);
    expect(fleet.close()).toEqual([]);
  });
  test("an order with an id of its own is known by that: its resend gets the first answer, another order is taken at once", async () => {
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
  test("an order that a frozen member reads after its caller has left is not carried out", async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const name = fleet.names("control").find((each) => each !== fleet.leader())!;
      const frozen = fleet.world.processes.get(name)!;
      frozen.freeze();
      const { env } = fleet.operator;
      const lost = await fleet.world.finish(
        fleet.operator,
        () => env.http(at(fleet, name), { method: "POST", path: "/v1/districts/north/drain", timeoutMs: 1000 }),
        2000,
      );
      expect(lost?.ok).toBe(false);
      await fleet.run(20_000);
      frozen.wake();
      await fleet.run(6000);
      expect([seed, drained(fleet)]).toEqual([seed, []]);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("the lead appends no order after its caller's deadline, and knows no deadline of another process", async () => {
    const fleet = new ControlFleet(5, { controls: 4 });
    await fleet.run(3000);
    const [rpc, leader] = [new Rpc(fleet.operator.env, "test", "asker"), fleet.leader()!];
    const ask = (body: ControlRequest): Promise<any> =>
      fleet.world.finish(
        fleet.operator,
        () => rpc.call(fleet.settings.get(leader)!.address, "control.op", body, 2000),
        3000,
      );
    const command: Command = { tag: "drain", changeId: "c", district: "north", by: "ann", at: 0 };
    const { clockId, now } = (await ask({ op: "clock" })).value;
    await fleet.run(1000);
    const late = await ask({ op: "change", command, deadline: { clockId, at: now + 900 } });
    expect(late).toMatchObject({ ok: false, fault: { tag: "late" } });
    const foreign = await ask({ op: "change", command, deadline: { clockId: "another", at: now + 90_000 } });
    expect(foreign).toMatchObject({ ok: false, fault: { tag: "late" } });
    expect(drained(fleet)).toEqual([]);
    expect(await ask({ op: "change", command, deadline: { clockId, at: now + 9000 } })).toMatchObject({ ok: true });
    expect(fleet.close()).toEqual([]);
  });
  test("a lead that starts again under its old address takes orders of those that knew its former clock", async () => {
    const fleet = new ControlFleet(6, { controls: 4 });
    await fleet.run(3000);
    for (let round = 0; round < 3; round += 1) {
      const leader = fleet.leader()!;
      const other = fleet.names("control").find((name) => name !== leader)!;
      expect(
        (
          await fleet.ask(
            "PUT",
            "/v1/manifest",
            configuration(round + 1),
            { "if-match": String(round) },
            at(fleet, other),
          )
        ).status,
      ).toBe(200);
      fleet.kill(leader);
      fleet.restart(leader);
      await fleet.run(4000);
    }
    expect(fleet.close()).toEqual([]);
  });
  test("a change against a version that is not there yet is never refused, and is taken once it is there", async () => {
    const fleet = new ControlFleet(8, { controls: 4 });
    await fleet.run(3000);
    const put = async (version: number, ifVersion: number): Promise<number> =>
      (await fleet.ask("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;
    expect([await put(9, 5), await put(5, 0), await put(9, 5), await put(7, 5)]).toEqual([503, 200, 200, 412]);
    expect(fleet.close()).toEqual([]);
  });
  test("an entry that was replaced in the log is no clear answer, for an order and for a change", async () => {
    const fleet = new ControlFleet(7, { controls: 4 });
    await fleet.run(3000);
    const { group } = fleet.control(fleet.leader()!)!;
    group.propose = function* () {
      return Fault.fail("conflict", "propose", "x", "entry was replaced");
    };
    const put = await fleet.ask("PUT", "/v1/manifest", configuration(1), { "if-match": "0" });
    expect([put.status, (await order(fleet, "POST")).status]).toEqual([504, 504]);
    expect(fleet.close()).toEqual([]);
  });
  test("the age of an order that was taken is counted by the lead's clock; one stepped back holds nothing up", () => {
    const state = founded();
    const drain = (index: number, tag: "drain" | "undrain", atMs: number): unknown =>
      ControlStateMachine.apply(state, index, { tag, changeId: `c${index}`, district: "north", by: "ann", at: atMs })
        .tag;
    expect([drain(2, "drain", 1000), drain(3, "drain", 1100), drain(4, "undrain", 1200)]).toEqual([
      "done",
      "done",
      "done",
    ]);
    expect(drain(5, "drain", 1300)).toBe("undecided");
    expect(drain(6, "drain", 500)).toBe("done");
  });
});

describe("retirements", () => {
  const retire = (fleet: ControlFleet, name: string, method = "POST"): Promise<Answer> =>
    fleet.ask(method, `/v1/stores/${name}/retirement`);
  const complete = async (fleet: ControlFleet, name: string): Promise<boolean> =>
    (await retire(fleet, name, "GET")).body.fate === "finished";
  const storesKnown = (fleet: ControlFleet): string[] =>
    fleet
      .control(fleet.leader()!)!
      .node.membership.all()
      .map((member) => `${member.name} ${member.state}`);
  test("sent again after its machine left it is never refused, and stays complete", async () => {
    const fleet = new ControlFleet(11, { controls: 3, stores: 5 });
    await fleet.run(6000);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    const takenAt = fleet.world.now;
    expect(await fleet.until(() => complete(fleet, "store-2"), 30_000, 20)).toBeDefined();
    fleet.kill("store-2", true);
    fleet.settings.delete("store-2");
    if (fleet.world.now - takenAt < Constants.orderResendMs) expect((await retire(fleet, "store-2")).status).toBe(200);
    expect(
      await fleet.until(() => !storesKnown(fleet).some((each) => each.startsWith("store-2 ")), 120_000, 500),
    ).toBeDefined();
    expect([(await retire(fleet, "store-2")).status, await complete(fleet, "store-2")]).toEqual([503, true]);
    expect((await retire(fleet, "store-9")).status).toBe(404);
    expect(fleet.close()).toEqual([]);
  });
  test("a successor with the name of a retired machine isn't retired, and its retirement is another order", async () => {
    const fleet = new ControlFleet(12, { controls: 4, stores: 5 });
    await fleet.run(6000);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    expect(await fleet.until(() => complete(fleet, "store-2"), 30_000, 100)).toBeDefined();
    const first = (await retire(fleet, "store-2", "GET")).body;
    fleet.kill("store-2", true);
    // the wall clocks are put back by an hour: the newest order is told by the log
    for (const process of fleet.world.processes.values()) process.skewMs -= 3_600_000;
    fleet.restart("store-2", { empty: true, moved: true });
    await fleet.run(8000);
    expect((await retire(fleet, "store-2", "GET")).status).toBe(404);
    expect((await retire(fleet, "store-2")).status).toBe(200);
    const second = await retire(fleet, "store-2", "GET");
    expect([second.status, second.body.id === first.id, second.body.fate]).toEqual([200, false, "started"]);
    expect(await fleet.until(() => complete(fleet, "store-2"), 30_000, 100)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
});

describe("changes of one version", () => {
  const change = (ifVersion: number, changeId: string): Command => ({
    tag: "manifest",
    changeId,
    ifVersion,
    version: ifVersion + 1,
    doc: { bindings: {} },
    by: "ann",
  });
  test("who won a version is known long after the outcomes kept by id are forgotten, also after a snapshot", () => {
    let state = founded();
    let index = 1;
    const apply = (command: Command): Outcome => ControlStateMachine.apply(state, (index += 1), command);
    const grow = (upTo: number): void => {
      for (let base = state.manifest.version; base < upTo; base += 1) {
        expect(apply(change(base, `winner-${base}`)).tag).toBe("done");
        if (base % 5 === 0) expect(apply(change(base, `loser-${base}`)).tag).toBe("conflict");
      }
    };
    grow(Constants.changesKept + 500);
    state = JSON.parse(JSON.stringify(state)) as ControlState;
    for (const base of [0, 5, 100, 2400]) {
      expect([base, apply(change(base, `winner-${base}`))]).toEqual([base, { tag: "done", version: base + 1 }]);
      expect([base, apply(change(base, `loser-${base}`)).tag]).toEqual([base, "conflict"]);
    }
    // past what is remembered there is no clear answer, and never a wrong one
    grow(Constants.acceptedKept + 10);
    for (const name of ["winner-3", "loser-5"]) expect(apply(change(3, name)).tag).toBe("undecided");
    expect(apply(change(10, "winner-10"))).toEqual({ tag: "done", version: 11 });
    expect(apply(change(10, "loser-10")).tag).toBe("conflict");
    expect(JSON.stringify(state.accepted).length).toBeLessThan(30 * Constants.acceptedKept);
  });
  test("a move of the calendar takes its version: another change against that lost", () => {
    const state = founded();
    const move = { kind: "manifest", ifVersion: 0, doc: { bindings: {} } } as const;
    const pencil = { tag: "pencil", changeId: "p", ifVersion: 0, id: "m", due: 5, move, by: "ann" } as const;
    ControlStateMachine.apply(state, 2, pencil);
    ControlStateMachine.apply(state, 3, { tag: "move", id: "m", from: "pencilled", to: "finished", detail: "", at: 5 });
    expect(state.manifest.version).toBe(1);
    expect(ControlStateMachine.apply(state, 4, change(0, "c")).tag).toBe("conflict");
  });
  test("two at once under one number, the lead lost between append and commit: one is acknowledged, then and later", async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      const { env, scope } = fleet.operator;
      const answers = new Map<string, number>();
      const send = function* (path: string, ifVersion: number, round: number): Task<number> {
        const names = fleet.names("control");
        const name = names[(round + path.length + seed) % names.length];
        const response = yield* env.http(fleet.settings.get(name)!.http, {
          method: "PUT",
          path: "/v1/manifest",
          body: JSON.stringify(configuration(ifVersion + 1, path)),
          headers: { "if-match": String(ifVersion) },
          timeoutMs: 1000,
          fresh: true,
        });
        return response.ok ? response.value.status : 0;
      };
      const persist = (path: string, ifVersion: number): void =>
        Csp.go(scope, path, function* () {
          for (let round = 0; ![200, 412].includes(answers.get(path) ?? 0); round += 1) {
            answers.set(path, yield* send(path, ifVersion, round));
            yield* EnvTools.sleep(env, 50);
          }
        });
      const clear = (...paths: string[]): boolean => paths.every((path) => [200, 412].includes(answers.get(path) ?? 0));
      persist("/one", 0);
      persist("/other", 0);
      await fleet.run(1 + fleet.world.random() * 8);
      const leader = fleet.leader();
      if (leader) fleet.kill(leader, true);
      await fleet.run(1000);
      if (leader) fleet.restart(leader);
      expect(await fleet.until(() => clear("/one", "/other"), 12_000)).toBeDefined();
      expect([seed, [answers.get("/one"), answers.get("/other")].sort()]).toEqual([seed, [200, 412]]);
      const first = new Map(answers);
      for (let version = 1; version < 4; version += 1) {
        persist(`/next-${version}`, version);
        expect(await fleet.until(() => clear(`/next-${version}`), 8000)).toBeDefined();
      }
      for (const name of fleet.names("control")) fleet.kill(name, true);
      for (const name of fleet.names("control")) fleet.restart(name);
      for (const path of ["/one", "/other"]) answers.delete(path);
      persist("/one", 0);
      persist("/other", 0);
      expect(await fleet.until(() => clear("/one", "/other"), 12_000)).toBeDefined();
      for (const path of ["/one", "/other"])
        expect([seed, path, answers.get(path)]).toEqual([seed, path, first.get(path)]);
      expect(fleet.close()).toEqual([]);
    }
  });
});
