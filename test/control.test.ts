import { Constants } from "../src/common/constants";
import { withoutOrigin } from "../src/controlState/configurationOrigin";
import { ConfigurationPatch } from "../src/controlState/configurationPatch";
import { configurationProblems } from "../src/controlState/configurationValidation";
import { ControlSnapshot } from "../src/controlState/controlSnapshot";
import { ControlState } from "../src/controlState/controlState";
import { ControlStateMachine } from "../src/controlState/controlStateMachine";
import { ConsensusGroup } from "../src/consensus/consensusGroup";
import { Rpc } from "../src/rpc/rpc";
import { ControlFleet } from "./controlFleet";
import { ControlHunt } from "./controlHunt";

const configuration = (version: number, path = "/x"): Record<string, unknown> => ({
  version,
  bindings: { a: { kind: "lookup", pool: "p", path } },
});
const put = async (fleet: ControlFleet, version: number, ifVersion: number): Promise<number> =>
  (await fleet.ask("PUT", "/v1/manifest", configuration(version), { "if-match": String(ifVersion) })).status;
const inForce = async (fleet: ControlFleet): Promise<number> => (await fleet.ask("GET", "/v1/manifest")).body.version;
/** Voters by the lead's log, as ids, and the names of those that live. */
const voters = (fleet: ControlFleet): { ids: string[]; living: string[] } => {
  const leader = fleet.leader();
  const ids = leader ? fleet.control(leader)!.group.voters() : [];
  return {
    ids,
    living: fleet
      .names("control")
      .filter((name) => ids.includes(fleet.control(name)?.node.self.id ?? ""))
      .sort(),
  };
};
const whole = (fleet: ControlFleet, count: number): boolean =>
  voters(fleet).ids.length === count && voters(fleet).living.length === count;

describe("membership and voters", () => {
  test("a member that was stopped and started again with its folder is there at once", async () => {
    const fleet = new ControlFleet(3, { controls: 4 });
    await fleet.run(3000);
    await fleet.terminate("control-2");
    await fleet.run(500);
    fleet.restart("control-2");
    await fleet.run(1500);
    for (const name of fleet.names("control"))
      expect([name, fleet.control(name)!.node.membership.alive("control").length]).toEqual([name, 4]);
    expect(fleet.close()).toEqual([]);
  });
  test("a group founded by three that needs five grows before it takes its first change", async () => {
    const fleet = new ControlFleet(4, { controls: 7, founders: 3, losses: 2 });
    await fleet.until(() => fleet.leader() !== undefined, 4000);
    expect(await fleet.until(async () => (await put(fleet, 3, 0)) === 200, 8000, 20)).toBeDefined();
    expect(whole(fleet, 5)).toBe(true);
    expect(fleet.close()).toEqual([]);
  });
  test("a group that can't grow goes on with what there is, and says so", async () => {
    const lines: string[] = [];
    const fleet = new ControlFleet(4, { controls: 3, founders: 3, losses: 2, log: (line) => lines.push(line) });
    await fleet.until(() => fleet.leader() !== undefined, 4000);
    const took = await fleet.until(async () => (await put(fleet, 3, 0)) === 200, 8000, 50);
    expect(took).toBeGreaterThan(Constants.groupGrowMs / 2);
    expect(took).toBeLessThan(Constants.groupGrowMs + 1000);
    expect(lines.some((line) => line.includes("1309"))).toBe(true);
    expect(fleet.close()).toEqual([]);
  });
  test("an emptied machine at a voter's address neither acknowledges nor votes in its name", async () => {
    const fleet = new ControlFleet(6, { controls: 3 });
    await fleet.run(3000);
    expect(await put(fleet, 1, 0)).toBe(200);
    const [leader, gone, down] = [fleet.leader()!, ...fleet.names("control").filter((name) => name !== fleet.leader())];
    const [former, address] = [fleet.control(gone)!.node.self.id, fleet.settings.get(gone)!.address];
    const group = fleet.control(leader)!.group;
    fleet.kill(down);
    fleet.kill(gone, true);
    fleet.restart(gone, { empty: true });
    await fleet.run(4000);
    // of the three voters one is left: nothing may be acknowledged, though two machines are up
    expect([503, 504]).toContain(await put(fleet, 2, 1));
    const asker = new Rpc(fleet.operator.env, "test", "asker");
    const vote = { to: former, group: group.groupId(), term: 99, candidate: "asker", lastIndex: 10_000, lastTerm: 98 };
    for (const verb of ["group.vote", "group.preVote"])
      expect(await fleet.world.finish(fleet.operator, () => asker.call(address, verb, vote, 500), 1000)).toMatchObject({
        ok: false,
        fault: { tag: "refused" },
      });
    // the other comes back, and a majority of those that hold the log with it
    fleet.restart(down);
    expect(await fleet.until(async () => (await put(fleet, 2, 1)) === 200, 8000, 100)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
  test("a standby that holds nothing is not made a voter, though it is there", async () => {
    const fleet = new ControlFleet(7, { controls: 4 });
    await fleet.run(3000);
    expect(await put(fleet, 1, 0)).toBe(200);
    const { living } = voters(fleet);
    const standby = fleet.names("control").find((name) => !living.includes(name))!;
    const [leader, gone] = [fleet.leader()!, living.find((name) => name !== fleet.leader())!];
    fleet.kill(standby);
    fleet.kill(gone, true);
    fleet.restart(gone, { empty: true });
    fleet.world.cut(leader, gone); // the others tell of it; the lead can't bring it the log
    await fleet.run(6000);
    expect(voters(fleet).ids).not.toContain(fleet.control(gone)!.node.self.id);
    expect(
      (await fleet.ask("PUT", "/v1/manifest", configuration(2), { "if-match": "1" }, fleet.settings.get(leader)!.http))
        .status,
    ).toBe(200);
    fleet.world.heal();
    expect(await fleet.until(() => whole(fleet, 3), 5000)).toBeDefined();
    expect(fleet.close()).toEqual([]);
  });
  test("voters replaced one after the other by empty machines elsewhere: each change stands", async () => {
    const fleet = new ControlFleet(8, { controls: 4 });
    await fleet.run(3000);
    let version = 0;
    for (let round = 0; round < 6; round += 1) {
      expect(await put(fleet, version + 2, version)).toBe(200);
      version += 2;
      const { living } = voters(fleet);
      const name = round % 2 === 0 ? fleet.leader()! : living.find((each) => each !== fleet.leader())!;
      fleet.kill(name, true);
      fleet.settings.delete(name);
      fleet.reseed(round);
      fleet.add(fleet.names("control")[0], `control-${10 + round}`);
      const took = await fleet.until(() => whole(fleet, 3), 8000);
      expect(took).toBeLessThan(5000);
      expect(await inForce(fleet)).toBe(version);
    }
    expect(fleet.close()).toEqual([]);
  });
  test("everything loses power and comes back at other addresses: a lead within two seconds, and what was acknowledged", async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      expect(await put(fleet, 5, 0)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      await fleet.run(1000);
      const seeds: string[] = [];
      for (const name of fleet.names("control")) {
        fleet.restart(name, { moved: true, seeds });
        if (seeds.length < 3) seeds.push(fleet.settings.get(name)!.address);
      }
      expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeLessThan(2000);
      expect(await inForce(fleet)).toBe(5);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("voters that have all just started need not wait for a grant's end; where one may still lead, they do", async () => {
    for (const seed of [1, 2, 3, 4]) {
      const fleet = new ControlFleet(seed, { controls: 3 });
      await fleet.run(3000);
      expect(await put(fleet, 5, 0)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      await fleet.run(300);
      for (const name of fleet.names("control")) fleet.restart(name);
      expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeLessThan(Constants.electionTimeoutMinMs);
      expect(await inForce(fleet)).toBe(5);
      // the lead freezes with its grant, the two others start again: they cannot know that it leads nothing
      const leader = fleet.leader()!;
      const others = fleet.names("control").filter((name) => name !== leader);
      fleet.world.processes.get(leader)!.freeze();
      for (const name of others) fleet.kill(name);
      for (const name of others) fleet.restart(name);
      const next = (): boolean => others.some((name) => fleet.control(name)?.group.hasLeaderLease() ?? false);
      expect(await fleet.until(next, 6000)).toBeGreaterThanOrEqual(Constants.electionTimeoutMinMs);
      expect(fleet.close()).toEqual([]);
    }
  });
  test("a new lead answers for nothing before all that was acknowledged is applied", async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const fleet = new ControlFleet(seed, { controls: 4 });
      await fleet.run(3000);
      for (let version = 1; version <= 5; version += 1) expect(await put(fleet, version, version - 1)).toBe(200);
      for (const name of fleet.names("control")) fleet.kill(name, true);
      for (const name of fleet.names("control")) fleet.restart(name);
      const early: unknown[] = [];
      await fleet.until(
        () => {
          for (const name of fleet.names("control")) {
            const group = fleet.control(name)?.group;
            if (group?.hasLeaderLease() && group.state.manifest.version !== 5)
              early.push([seed, name, group.state.manifest.version]);
          }
          return fleet.leader() !== undefined && fleet.control(fleet.leader()!)!.group.state.manifest.version === 5;
        },
        6000,
        0.2,
      );
      expect(early).toEqual([]);
      fleet.close();
    }
  });
});

describe("changes", () => {
  const route = (more: Record<string, unknown> = {}): any => ({
    kind: "lookup",
    pool: "p",
    path: "/",
    safe: true,
    deadlineMs: 1000,
    continues: "no",
    prefixBytes: 0,
    ...more,
  });
  test("patches keep an item's place, and say what is wrong with the whole that results", () => {
    const doc = {
      bindings: { a: route({ origin: { its: "form" } }), b: route({ host: "h", prefix: "/b/" }) },
      pools: { p: { origin: 1 }, q: {} },
      origin: { rest: 1 },
    };
    const next = ConfigurationPatch.apply(doc, {
      upsert: { bindings: { c: route(), a: route({ pool: "q" }) } },
      remove: { pools: ["nobody"] },
    });
    expect(Object.keys(next.bindings)).toEqual(["a", "b", "c"]);
    expect([next.bindings.a.pool, next.origin, configurationProblems(next)]).toEqual(["q", { rest: 1 }, []]);
    const faults = (upsert: Record<string, unknown>, remove = {}): string[] =>
      configurationProblems(ConfigurationPatch.apply(doc, { upsert: { bindings: upsert as any }, remove }));
    expect(faults({}, { pools: ["p"] })).toHaveLength(2);
    expect(faults({ z: route({ host: "H", prefix: "/b/" }) })).toEqual([
      expect.stringContaining("host and prefix are those of b"),
    ]);
    expect(faults({ z: route({ split: [{ pool: "p", weight: 0 }] }) })).toEqual([expect.stringContaining("weights")]);
    expect(
      faults({
        z: route({
          split: [
            { pool: "p", weight: 1 },
            { pool: "nobody", weight: 0 },
          ],
        }),
      }),
    ).toEqual([expect.stringContaining("nobody")]);
    expect(faults({ z: route({ deadlineMs: 0 }) })).toEqual([expect.stringContaining("deadline")]);
    expect(faults({ z: route({ host: "h" }) })).toEqual([expect.stringContaining("go together")]);
    // a manifest that names no pools at all is as well as it always was
    expect(configurationProblems({ bindings: { a: route({ pool: "anything" }) } })).toEqual([]);
    const bare = withoutOrigin(doc);
    expect([JSON.stringify(bare).includes("origin"), Object.keys(bare.bindings), withoutOrigin(doc) === bare]).toEqual([
      false,
      ["a", "b"],
      true,
    ]);
  });
  test("what a node is told has a new index only where it changed", () => {
    const state = ControlState.empty();
    ControlStateMachine.apply(state, 1, { tag: "found", group: "g", voters: ["a"] });
    ControlStateMachine.apply(state, 2, { tag: "noop" });
    expect(ControlSnapshot.of(state, 2).index).toBe(1);
    const change = {
      tag: "manifest",
      changeId: "c",
      ifVersion: 0,
      version: 4,
      doc: { bindings: {} },
      by: "ann",
    } as const;
    expect(ControlStateMachine.apply(state, 3, change)).toEqual({ tag: "done", version: 4 });
    ControlStateMachine.apply(state, 4, { tag: "told", upTo: 3 });
    expect(ControlStateMachine.apply(state, 5, change)).toEqual({ tag: "done", version: 4 });
    expect(ControlStateMachine.apply(state, 6, { ...change, changeId: "d" })).toEqual({ tag: "conflict", version: 4 });
    expect(ControlStateMachine.apply(state, 7, { ...change, changeId: "e", ifVersion: 4 })).toMatchObject({
      tag: "refused",
    });
    // against a version still to come: not refused, for it may be taken once that version is there
    expect(ControlStateMachine.apply(state, 8, { ...change, changeId: "f", ifVersion: 6, version: 7 })).toEqual({
      tag: "undecided",
      detail: "made against version 6, current is 4",
    });
    expect(ControlSnapshot.of(state, 8)).toMatchObject({ index: 3, manifest: { version: 4 } });
    expect(ControlStateMachine.apply(state, 9, { ...change, changeId: "g", ifVersion: 4, version: 6 })).toEqual({
      tag: "done",
      version: 6,
    });
    expect(ControlStateMachine.apply(state, 10, { ...change, changeId: "f", ifVersion: 6, version: 7 })).toEqual({
      tag: "done",
      version: 7,
    });
  });
  test("the product's own interface: versions, patches, drains and retirement", async () => {
    const fleet = new ControlFleet(9, { controls: 4, stores: 4 });
    await fleet.run(6000);
    const patch = (body: unknown, ifVersion: number): Promise<{ status: number; body: any }> =>
      fleet.ask("PATCH", "/v1/manifest", body, { "if-match": String(ifVersion) });
    expect(await put(fleet, 7, 0)).toBe(200);
    expect((await fleet.ask("PUT", "/v1/manifest", { bindings: {} }, { "if-match": "7" })).body.version).toBe(8);
    expect((await patch({ version: 8, upsert: { bindings: { b: route() } } }, 8)).status).toBe(400);
    expect(
      (await patch({ version: 20, upsert: { bindings: { b: route() }, pools: { p: { connections: 5 } } } }, 8)).body
        .version,
    ).toBe(20);
    expect((await patch({ remove: { pools: ["p"] } }, 20)).status).toBe(400);
    expect((await patch({ colour: 1 }, 20)).body.paths).toEqual([
      expect.stringMatching(/colour: must NOT have additional properties/),
    ]);
    const read = (await fleet.ask("GET", "/v1/manifest")).body;
    expect([read.version, Object.keys(read.doc.bindings), read.doc.pools]).toEqual([
      20,
      ["b"],
      { p: { connections: 5 } },
    ]);
    expect((await fleet.ask("POST", "/v1/districts/north/drain")).status).toBe(200);
    expect((await fleet.ask("POST", "/v1/districts/north/drain")).status).toBe(200);
    await fleet.run(600);
    expect(fleet.control("control-2")!.node.snapshot().control!.drained).toEqual(["north"]);
    expect((await fleet.ask("DELETE", "/v1/districts/north/drain")).status).toBe(200);
    await fleet.run(2500);
    expect(fleet.control("control-2")!.node.snapshot().control!.drained).toEqual([]);
    const moves = (await fleet.ask("GET", "/v1/calendar")).body.entries.map(
      (entry: any) => `${entry.move.kind} ${entry.fate}`,
    );
    expect(moves).toEqual(["drain finished", "undrain finished"]);
    expect((await fleet.ask("POST", "/v1/stores/nobody/retirement")).status).toBe(404);
    expect((await fleet.ask("GET", "/v1/stores/store-1/retirement")).status).toBe(404);
    expect((await fleet.ask("POST", "/v1/stores/store-1/retirement")).status).toBe(200);
    expect((await fleet.ask("POST", "/v1/stores/store-2/retirement")).status).toBe(409);
    expect(
      await fleet.until(
        async () => (await fleet.ask("GET", "/v1/stores/store-1/retirement")).body.fate === "finished",
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

describe("the hunt bites", () => {
  /** What the hunts of a few seeds find while a part of the group is spoilt, until what is looked for is among it. */
  const hunted = async (spoil: (group: any) => void, wanted: RegExp): Promise<string[]> => {
    const found: string[] = [];
    const start = ConsensusGroup.prototype.start;
    ConsensusGroup.prototype.start = function (this: ConsensusGroup) {
      spoil(this);
      start.call(this);
    };
    try {
      for (let seed = 1; seed <= 12 && !wanted.test(found.join("; ")); seed += 1)
        found.push(...(await ControlHunt.run(seed, { controls: 4, losses: 1 })).violations);
    } finally {
      ConsensusGroup.prototype.start = start;
    }
    return found;
  };
  test("a change acknowledged before a majority has it", async () => {
    const wanted = /two changes|was acknowledged|isn't what was sent|refused|applied one after the other/;
    const found = await hunted((group) => (group.replica.majority = () => 1), wanted);
    expect(found.join("; ")).toMatch(wanted);
  });
});

describe("operator races while control machines are lost, then everything", () => {
  const seeds = Number(process.env.CONTROL_SEEDS ?? 4);
  test.each([
    [4, 1, 0],
    [7, 2, 100],
  ])("%i machines, %i of them lost", async (controls, losses, from) => {
    for (let seed = from + 1; seed <= from + seeds; seed += 1) {
      const hunted = await ControlHunt.run(seed, { controls, losses, troubles: 4 });
      expect({ seed, acts: hunted.acts, violations: hunted.violations }).toEqual({
        seed,
        acts: hunted.acts,
        violations: [],
      });
      expect(hunted.acknowledged).toBeGreaterThan(10);
    }
  });
});
