import { StorageNode } from "../src/storage/storageNode";
import { ControlFleet } from "./controlFleet";

type Direction = "in" | "out" | "both";
/** Time after which a newly acknowledged version must be in force, ms: `config_apply_ms`. */
const CONFIGURATION_APPLY_MS = 2000;
const route = { kind: "lookup", pool: "p", path: "/x" };
const httpAddress = (fleet: ControlFleet, name: string): string => fleet.settings.get(name)!.http;
const put = async (fleet: ControlFleet, version: number, at: string): Promise<number> => {
  const routes = { [`only-in-${version}`]: route };
  const headers = { "if-match": String(version - 1) };
  return (await fleet.send("PUT", "/v1/manifest", { version, bindings: routes }, headers, httpAddress(fleet, at)))
    .status;
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
/** Returns the name of the leader, or of a voter that does not lead. */
const controlTarget = (fleet: ControlFleet, isLeader: boolean): string =>
  isLeader ? fleet.leader()! : fleet.names("control").find((name) => name !== fleet.leader() && isVoter(fleet, name))!;
/** Changes the configuration on the side of the partition that holds the majority, once that side has a leader. */
async function putFromMajority(fleet: ControlFleet, isolated: string[], version: number): Promise<void> {
  const outside = fleet.names("control").find((name) => !isolated.includes(name))!;
  const hasOutsideLeader = (): boolean => fleet.leader() !== undefined && !isolated.includes(fleet.leader()!);
  expect(await fleet.until(hasOutsideLeader, 8000)).toBeDefined();
  expect(await fleet.until(async () => (await put(fleet, version, outside)) === 200, 5000)).toBeDefined();
}
/** Returns which of the given ingresses served an older version than the given one during the given time. */
async function findStaleServing(fleet: ControlFleet, names: string[], version: number, ms: number): Promise<string[]> {
  const old = new Set<string>();
  for (const until = fleet.world.now + ms; fleet.world.now < until; await fleet.run(40))
    for (const name of names)
      if (fleet.ingress(name) && serves(fleet, name) && versionAt(fleet, name) < version)
        old.add(`${name} served ${versionAt(fleet, name)}`);
  return [...old];
}
const freeze = (fleet: ControlFleet, name: string): void => fleet.world.processes.get(name)!.freeze();
const thaw = (fleet: ControlFleet, name: string): void => fleet.world.processes.get(name)!.resume();

describe("processes that are partitioned from the majority of the control group", () => {
  const cases: { seed: number; direction: Direction; resets: boolean; isLeader: boolean; partitionMs: number }[] = [
    { seed: 1, direction: "both", resets: false, isLeader: false, partitionMs: 20_000 },
    { seed: 2, direction: "both", resets: true, isLeader: true, partitionMs: 20_000 },
    { seed: 3, direction: "in", resets: false, isLeader: true, partitionMs: 20_000 },
    { seed: 4, direction: "out", resets: true, isLeader: true, partitionMs: 60_000 },
    { seed: 5, direction: "out", resets: false, isLeader: false, partitionMs: 20_000 },
    { seed: 6, direction: "in", resets: true, isLeader: false, partitionMs: 20_000 },
  ];
  test.each(cases)(
    "an ingress that starts or thaws there serves nothing, one that keeps running continues to serve, and all get the newest version after the partition heals: %j",
    async ({ seed, direction, resets, isLeader, partitionMs }) => {
      const fleet = await startFleet(seed);
      fleet.world.partitionsReset = resets;
      const control = controlTarget(fleet, isLeader);
      const isolated = [control, "ingress-1", "ingress-2", "ingress-3"];
      fleet.partition(isolated, direction);
      freeze(fleet, "ingress-2");
      await putFromMajority(fleet, isolated, 2);
      await fleet.run(CONFIGURATION_APPLY_MS);
      thaw(fleet, "ingress-2");
      // The list of seeds begins with the partitioned control machine.
      const seeds = [control, ...fleet.names("control").filter((name) => name !== control)].slice(0, 3);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1", { seeds: seeds.map((name) => fleet.settings.get(name)!.address) });
      const early = await findStaleServing(fleet, ["ingress-1", "ingress-2", "ingress-4"], 2, partitionMs / 2);
      // The partitioned control node restarts too, with its disk. An ingress that starts beside it gets no newer version.
      fleet.kill(control);
      fleet.restart(control);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1");
      const late = await findStaleServing(fleet, ["ingress-1", "ingress-2", "ingress-4"], 2, partitionMs / 2);
      expect([...early, ...late]).toEqual([]);
      // The caller is not part of the partition, and is rejected at once instead of having to wait.
      const rejected = await fleet.send("POST", "/v1/requests/only-in-1", "q", {}, httpAddress(fleet, "ingress-1"));
      expect([rejected.status, Number(rejected.headers["retry-after"])]).toEqual([503, 1]);
      expect([serves(fleet, "ingress-3"), versionAt(fleet, "ingress-3")]).toEqual([true, 1]);
      fleet.world.heal();
      const healed = await fleet.until(() => allServe(fleet, 2), 4000);
      // After `contact_window_ms` the processes count as in contact with the majority.
      expect(healed).toBeLessThan(3000);
      expect(fleet.close()).toEqual([]);
    },
  );
});

describe("a control group without a leader", () => {
  test("an ingress that keeps running continues to serve, and one that starts serves only soon after a majority is available again", async () => {
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
  test("after a power loss of all processes, the ingresses serve within 3 s of the election of a leader", async () => {
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

describe("frozen ingresses", () => {
  test("an ingress that thaws without a partition serves again in less than 700 ms, and not before it is confirmed", async () => {
    const fleet = await startFleet(31);
    for (let round = 0; round < 8; round += 1) {
      freeze(fleet, "ingress-1");
      await fleet.run(1500 + 400 * round);
      thaw(fleet, "ingress-1");
      expect(serves(fleet, "ingress-1")).toBe(false);
      expect(await fleet.until(() => serves(fleet, "ingress-1"), 3000)).toBeLessThan(700);
    }
    expect(fleet.close()).toEqual([]);
  });
  test("responses that were queued in a frozen process confirm nothing when it thaws", async () => {
    for (const seed of [41, 43, 45]) {
      const fleet = await startFleet(seed, 2);
      fleet.kill("ingress-1");
      fleet.restart("ingress-1");
      // The first requests of the ingress are in flight, or have just been answered.
      await fleet.run(20 + 60 * (seed - 41));
      freeze(fleet, "ingress-1");
      await fleet.run(300);
      const isolated = [controlTarget(fleet, true), "ingress-1"];
      fleet.partition(isolated);
      await putFromMajority(fleet, isolated, 2);
      await fleet.run(CONFIGURATION_APPLY_MS);
      thaw(fleet, "ingress-1");
      expect(fleet.ingress("ingress-1") ? serves(fleet, "ingress-1") : false).toBe(false);
      expect(await findStaleServing(fleet, ["ingress-1"], 2, 8000)).toEqual([]);
      fleet.close();
    }
  });
});

test("a storage node that starts on the minority side of a partition may not hold leases there", async () => {
  const fleet = new ControlFleet(51, { controls: 4, stores: 3, ingresses: 1 });
  const mayHoldLeases = (name: string): boolean => {
    const store = fleet.running.get(name) as unknown as StorageNode | undefined;
    return store?.node.mayHoldLeases() ?? false;
  };
  expect(await fleet.until(() => fleet.leader() !== undefined, 5000)).toBeDefined();
  expect(await fleet.until(() => fleet.names("store").every(mayHoldLeases), 5000)).toBeDefined();
  const control = controlTarget(fleet, false);
  fleet.partition([control, "store-1", "store-2"]);
  fleet.kill("store-1");
  fleet.restart("store-1", { seeds: [fleet.settings.get(control)!.address] });
  for (let at = 0; at < 200; at += 1) {
    await fleet.run(100);
    expect(mayHoldLeases("store-1")).toBe(false);
  }
  fleet.world.heal();
  expect(await fleet.until(() => fleet.names("store").every(mayHoldLeases), 5000)).toBeLessThan(3000);
  expect(fleet.close()).toEqual([]);
});

test("an ingress that starts beside a running agent obtains its own confirmation from the majority", async () => {
  const fleet = await startFleet(61, 1);
  fleet.addMachine("ingress-1", "agent-1");
  Object.assign(fleet.settings.get("agent-1")!, { program: "agent" });
  fleet.addMachine("ingress-1", "ingress-2");
  fleet.kill("agent-1");
  fleet.kill("ingress-2");
  fleet.start("agent-1");
  const ingressSettings = fleet.settings.get("ingress-2")!;
  delete ingressSettings.seeds;
  ingressSettings.agent = fleet.settings.get("agent-1")!.address;
  fleet.start("ingress-2");
  expect(await fleet.until(() => serves(fleet, "ingress-2"), 5000)).toBeDefined();
  const isolated = [controlTarget(fleet, false), "agent-1", "ingress-2"];
  fleet.partition(isolated);
  await putFromMajority(fleet, isolated, 2);
  await fleet.run(CONFIGURATION_APPLY_MS);
  fleet.kill("ingress-2");
  fleet.start("ingress-2");
  expect(await findStaleServing(fleet, ["ingress-2"], 2, 10_000)).toEqual([]);
  fleet.world.heal();
  expect(await fleet.until(() => servesVersion(fleet, "ingress-2", 2), 5000)).toBeLessThan(3000);
  expect(fleet.close()).toEqual([]);
});

/**
 * Partitions, heals, restarts, freezes and changes at random. An ingress that serves must have every change that was
 * acknowledged before it started or thawed, and its version must never decrease. Returns the violations. The
 * environment variable PETRELBEAM_CUT_WALKS sets the number of walks.
 */
async function runRandomWalk(seed: number): Promise<string[]> {
  const fleet = await startFleet(seed, 3);
  const random = (count: number): number => Math.floor(fleet.operator.env.random() * count);
  const required = new Map(fleet.names("ingress").map((name) => [name, 1]));
  const reached = new Map(fleet.names("ingress").map((name) => [name, 1]));
  const frozen = new Set<string>();
  const violations: string[] = [];
  let acknowledged = 1;
  let isolatedIngress = "ingress-1";
  for (let step = 0; step < 40; step += 1) {
    const control = fleet.names("control")[random(4)];
    // Most steps target the ingress that was partitioned last, where faults are most likely.
    const ingress = random(4) > 0 ? isolatedIngress : fleet.names("ingress")[random(3)];
    switch (random(8)) {
      case 0:
        isolatedIngress = ingress;
        fleet.world.partitionsReset = random(2) === 0;
        fleet.partition([control, isolatedIngress], (["in", "out", "both"] as const)[random(3)]);
        break;
      case 1:
        fleet.world.heal();
        break;
      case 2:
        if (frozen.has(ingress)) break;
        fleet.kill(ingress);
        fleet.restart(ingress, { seeds: [fleet.settings.get(control)!.address] });
        required.set(ingress, acknowledged);
        reached.set(ingress, 0);
        break;
      case 3:
        if (!frozen.has(ingress)) {
          freeze(fleet, ingress);
          frozen.add(ingress);
          // A shorter freeze cannot be distinguished from a busy machine.
          await fleet.run(1300);
        }
        break;
      case 4:
        for (const name of frozen) {
          required.set(name, acknowledged);
          thaw(fleet, name);
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
        if (version < required.get(name)!)
          violations.push(`step ${step}: ${name} serves ${version}, requires ${required.get(name)}`);
        if (version < reached.get(name)!) violations.push(`step ${step}: ${name} went back to ${version}`);
        reached.set(name, version);
      }
    }
  }
  violations.push(...fleet.close());
  return violations;
}
test("in random walks of partitions, restarts and freezes no ingress serves an older version than was acknowledged before", async () => {
  const walks = Number(process.env.PETRELBEAM_CUT_WALKS ?? 2);
  // The walk of seed 7 found the fault that these tests were written for.
  for (let seed = 7; seed < 7 + walks; seed += 1) expect([seed, await runRandomWalk(seed)]).toEqual([seed, []]);
}, 3_600_000);
