import { StorageNode } from "../src/storage/storageNode";
import { ControlFleet } from "./controlFleet";

type PartitionDirection = "in" | "out" | "both";
/** The newest version that was acknowledged counts after this long, ms: `config_apply_ms`. */
const CONFIGURATION_APPLY_MS = 2000;
const route = { kind: "lookup", pool: "p", path: "/x" };
const http = (fleet: ControlFleet, name: string): string => fleet.settings.get(name)!.http;
const put = async (fleet: ControlFleet, version: number, at: string): Promise<number> => {
  const routes = { [`only-in-${version}`]: route };
  const headers = { "if-match": String(version - 1) };
  return (await fleet.send("PUT", "/v1/manifest", { version, bindings: routes }, headers, http(fleet, at))).status;
};
const versionAt = (fleet: ControlFleet, name: string): number =>
  fleet.ingress(name)?.snapshot().control?.manifest.version ?? 0;
const serves = (fleet: ControlFleet, name: string): boolean =>
  fleet.ingress(name)?.readiness.unreadyReason() === undefined;
const servesVersion = (fleet: ControlFleet, name: string, version: number): boolean =>
  fleet.ingress(name) !== undefined && serves(fleet, name) && versionAt(fleet, name) === version;
const allServe = (fleet: ControlFleet, version: number): boolean =>
  fleet.names("ingress").every((name) => servesVersion(fleet, name, version));

async function startFleet(seed: number, ingresses = 4): Promise<ControlFleet> {
  const fleet = new ControlFleet(seed, { controls: 4, ingresses });
  expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeDefined();
  expect(await fleet.until(async () => (await put(fleet, 1, fleet.leader()!)) === 200, 8000)).toBeDefined();
  expect(await fleet.until(() => allServe(fleet, 1), 5000)).toBeDefined();
  return fleet;
}
const isVoter = (fleet: ControlFleet, name: string): boolean =>
  fleet.control(fleet.leader()!)!.group.voters().includes(fleet.control(name)!.node.self.id);
/** The lead, or a voter that does not lead. */
const controlTarget = (fleet: ControlFleet, leading: boolean): string =>
  leading ? fleet.leader()! : fleet.names("control").find((name) => name !== fleet.leader() && isVoter(fleet, name))!;
/** A change by the side that holds the majority, once it has a lead. */
async function putFromMajority(fleet: ControlFleet, island: string[], version: number): Promise<void> {
  const outside = fleet.names("control").find((name) => !island.includes(name))!;
  const leaders = (): boolean => fleet.leader() !== undefined && !island.includes(fleet.leader()!);
  expect(await fleet.until(leaders, 8000)).toBeDefined();
  expect(await fleet.until(async () => (await put(fleet, version, outside)) === 200, 5000)).toBeDefined();
}
/** Which of these served anything but the newest while time passed. */
async function findStaleServing(fleet: ControlFleet, names: string[], version: number, ms: number): Promise<string[]> {
  const old = new Set<string>();
  for (const until = fleet.world.now + ms; fleet.world.now < until; await fleet.run(40))
    for (const name of names)
      if (fleet.ingress(name) && serves(fleet, name) && versionAt(fleet, name) < version)
        old.add(`${name} served ${versionAt(fleet, name)}`);
  return [...old];
}
const freeze = (fleet: ControlFleet, name: string): void => fleet.world.processes.get(name)!.freeze();
const wake = (fleet: ControlFleet, name: string): void => fleet.world.processes.get(name)!.wake();

describe("cut off from the majority of the control group", () => {
  const cases: { seed: number; way: PartitionDirection; resets: boolean; leading: boolean; cutMs: number }[] = [
    { seed: 1, way: "both", resets: false, leading: false, cutMs: 20_000 },
    { seed: 2, way: "both", resets: true, leading: true, cutMs: 20_000 },
    { seed: 3, way: "in", resets: false, leading: true, cutMs: 20_000 },
    { seed: 4, way: "out", resets: true, leading: true, cutMs: 60_000 },
    { seed: 5, way: "out", resets: false, leading: false, cutMs: 20_000 },
    { seed: 6, way: "in", resets: true, leading: false, cutMs: 20_000 },
  ];
  test.each(cases)(
    "who starts or thaws there serves nothing, who runs on goes on, all have the newest after the heal: %j",
    async ({ seed, way, resets, leading, cutMs }) => {
      const fleet = await startFleet(seed);
      fleet.world.partitionsReset = resets;
      const control = controlTarget(fleet, leading);
      const island = [control, "ingress-1", "ingress-2", "ingress-3"];
      fleet.partition(island, way);
      freeze(fleet, "ingress-2");
      await putFromMajority(fleet, island, 2);
      await fleet.run(CONFIGURATION_APPLY_MS);
      wake(fleet, "ingress-2");
      // its list of seeds begins with the machine that is cut off
      const seeds = [control, ...fleet.names("control").filter((name) => name !== control)].slice(0, 3);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1", { seeds: seeds.map((name) => fleet.settings.get(name)!.address) });
      const early = await findStaleServing(fleet, ["ingress-1", "ingress-2", "ingress-4"], 2, cutMs / 2);
      // the control member too, with all that its disk holds; whoever starts beside it learns nothing better
      fleet.kill(control);
      fleet.restart(control);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1");
      const late = await findStaleServing(fleet, ["ingress-1", "ingress-2", "ingress-4"], 2, cutMs / 2);
      expect([...early, ...late]).toEqual([]);
      // it has nothing to do with the cut, and is told at once rather than left to wait
      const refused = await fleet.send("POST", "/v1/requests/only-in-1", "q", {}, http(fleet, "ingress-1"));
      expect([refused.status, Number(refused.headers["retry-after"])]).toEqual([503, 1]);
      expect([serves(fleet, "ingress-3"), versionAt(fleet, "ingress-3")]).toEqual([true, 1]);
      fleet.world.heal();
      const healed = await fleet.until(() => allServe(fleet, 2), 4000);
      expect(healed).toBeLessThan(3000); // contact_window_ms: from then on they count as in touch
      expect(fleet.close()).toEqual([]);
    },
  );
});

describe("no lead anywhere", () => {
  test("who runs on goes on serving, who starts waits for a majority, and serves soon after there is one", async () => {
    const fleet = await startFleet(11, 3);
    const voters = fleet.names("control").filter((name) => isVoter(fleet, name));
    const lost = voters.slice(0, 2);
    for (const name of lost) fleet.kill(name);
    fleet.kill("ingress-1");
    fleet.restart("ingress-1");
    for (let at = 0; at < 300; at += 1) {
      await fleet.run(100);
      expect([serves(fleet, "ingress-2"), serves(fleet, "ingress-3")]).toEqual([true, true]);
      if (fleet.ingress("ingress-1")) expect(serves(fleet, "ingress-1")).toBe(false);
    }
    fleet.restart(lost[0]);
    expect(await fleet.until(() => fleet.leader() !== undefined, 8000)).toBeDefined();
    expect(await fleet.until(() => allServe(fleet, 1), 2000)).toBeLessThan(500);
    expect(fleet.close()).toEqual([]);
  });
  test("after a loss of power of all, service comes as soon as the lead", async () => {
    for (const seed of [21, 22, 23]) {
      const fleet = await startFleet(seed);
      const names = [...fleet.settings.keys()];
      for (const name of names) fleet.kill(name, true);
      await fleet.run(1000);
      for (const name of names) fleet.restart(name);
      expect(await fleet.until(() => fleet.leader() !== undefined, 8000)).toBeDefined();
      expect([seed, await fleet.until(() => allServe(fleet, 1), 3000)]).toEqual([seed, expect.any(Number)]);
      fleet.close();
    }
  });
});

describe("freezes", () => {
  test("a thaw in calm times costs a moment", async () => {
    const fleet = await startFleet(31);
    for (let round = 0; round < 8; round += 1) {
      freeze(fleet, "ingress-1");
      await fleet.run(1500 + 400 * round);
      wake(fleet, "ingress-1");
      expect(serves(fleet, "ingress-1")).toBe(false);
      expect(await fleet.until(() => serves(fleet, "ingress-1"), 3000)).toBeLessThan(700);
    }
    expect(fleet.close()).toEqual([]);
  });
  test("responses that lay in a frozen process confirm nothing when it thaws", async () => {
    for (const seed of [41, 43, 45]) {
      const fleet = await startFleet(seed, 2);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1");
      // its first requests are on their way, or just answered
      await fleet.run(20 + 60 * (seed - 41));
      freeze(fleet, "ingress-1");
      await fleet.run(300);
      const island = [controlTarget(fleet, true), "ingress-1"];
      fleet.partition(island);
      await putFromMajority(fleet, island, 2);
      await fleet.run(CONFIGURATION_APPLY_MS);
      wake(fleet, "ingress-1");
      expect(fleet.ingress("ingress-1") ? serves(fleet, "ingress-1") : false).toBe(false);
      expect(await findStaleServing(fleet, ["ingress-1"], 2, 8000)).toEqual([]);
      fleet.close();
    }
  });
});

test("a store that starts on the cut-off side takes up no duty there", async () => {
  const fleet = new ControlFleet(51, { controls: 4, stores: 3, ingresses: 1 });
  const vouches = (name: string): boolean => {
    const store = fleet.running.get(name) as unknown as StorageNode | undefined;
    return store?.node.mayHoldLeases() ?? false;
  };
  expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeDefined();
  expect(await fleet.until(() => fleet.names("store").every(vouches), 5000)).toBeDefined();
  const control = controlTarget(fleet, false);
  fleet.partition([control, "store-1", "store-2"]);
  fleet.kill("store-1");
  fleet.restart("store-1", { seeds: [fleet.settings.get(control)!.address] });
  for (let at = 0; at < 200; at += 1) {
    await fleet.run(100);
    expect(vouches("store-1")).toBe(false);
  }
  fleet.world.heal();
  expect(await fleet.until(() => fleet.names("store").every(vouches), 5000)).toBeLessThan(3000);
  expect(fleet.close()).toEqual([]);
});

test("an ingress that starts beside an agent which runs on asks for itself", async () => {
  const fleet = await startFleet(61, 1);
  fleet.addMachine("ingress-1", "agent-1");
  Object.assign(fleet.settings.get("agent-1")!, { program: "agent" });
  fleet.addMachine("ingress-1", "ingress-2");
  fleet.kill("agent-1");
  fleet.kill("ingress-2");
  fleet.start("agent-1");
  const beside = fleet.settings.get("ingress-2")!;
  delete beside.seeds;
  beside.agent = fleet.settings.get("agent-1")!.address;
  fleet.start("ingress-2");
  expect(await fleet.until(() => serves(fleet, "ingress-2"), 5000)).toBeDefined();
  const island = [controlTarget(fleet, false), "agent-1", "ingress-2"];
  fleet.partition(island);
  await putFromMajority(fleet, island, 2);
  await fleet.run(CONFIGURATION_APPLY_MS);
  fleet.kill("ingress-2");
  fleet.start("ingress-2");
  expect(await findStaleServing(fleet, ["ingress-2"], 2, 10_000)).toEqual([]);
  fleet.world.heal();
  expect(await fleet.until(() => servesVersion(fleet, "ingress-2", 2), 5000)).toBeLessThan(3000);
  expect(fleet.close()).toEqual([]);
});

/**
 * Cuts, heals, starts, freezes and changes at random. Whoever serves has what was acknowledged before it started or
 * thawed, and never goes back. More by PETRELBEAM_CUT_WALKS.
 */
async function runRandomWalk(seed: number): Promise<string[]> {
  const fleet = await startFleet(seed, 3);
  const random = (count: number): number => Math.floor(fleet.operator.env.random() * count);
  const owed = new Map(fleet.names("ingress").map((name) => [name, 1]));
  const reached = new Map(fleet.names("ingress").map((name) => [name, 1]));
  const frozen = new Set<string>();
  const broken: string[] = [];
  let acknowledged = 1;
  let inside = "ingress-1";
  for (let step = 0; step < 40; step += 1) {
    const control = fleet.names("control")[random(4)];
    // mostly where it hurts
    const ingress = random(4) > 0 ? inside : fleet.names("ingress")[random(3)];
    switch (random(8)) {
      case 0:
        inside = ingress;
        fleet.world.partitionsReset = random(2) === 0;
        fleet.partition([control, inside], (["in", "out", "both"] as const)[random(3)]);
        break;
      case 1:
        fleet.world.heal();
        break;
      case 2:
        if (frozen.has(ingress)) break;
        fleet.kill(ingress);
        fleet.restart(ingress, { seeds: [fleet.settings.get(control)!.address] });
        owed.set(ingress, acknowledged);
        reached.set(ingress, 0);
        break;
      case 3:
        if (!frozen.has(ingress)) {
          freeze(fleet, ingress);
          frozen.add(ingress);
          await fleet.run(1300); // shorter ones are not told from a busy machine
        }
        break;
      case 4:
        for (const name of frozen) {
          owed.set(name, acknowledged);
          wake(fleet, name);
        }
        frozen.clear();
        break;
      default:
        if ((await put(fleet, acknowledged + 1, control)) === 200) acknowledged += 1;
    }
    for (let at = 0; at < 10; at += 1) {
      await fleet.run(20 + random(80));
      for (const name of fleet.names("ingress").filter((each) => !frozen.has(each) && fleet.ingress(each))) {
        if (!serves(fleet, name)) continue;
        const version = versionAt(fleet, name);
        if (version < owed.get(name)!) broken.push(`step ${step}: ${name} serves ${version}, owes ${owed.get(name)}`);
        if (version < reached.get(name)!) broken.push(`step ${step}: ${name} went back to ${version}`);
        reached.set(name, version);
      }
    }
  }
  broken.push(...fleet.close());
  return broken;
}
test("random walks of cuts, starts and freezes: nothing older is served than was acknowledged before", async () => {
  const walks = Number(process.env.PETRELBEAM_CUT_WALKS ?? 2);
  // the seventh finds the fault that this file was written for
  for (let seed = 7; seed < 7 + walks; seed += 1) expect([seed, await runRandomWalk(seed)]).toEqual([seed, []]);
}, 3_600_000);
